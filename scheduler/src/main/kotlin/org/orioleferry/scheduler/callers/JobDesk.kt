package org.orioleferry.scheduler.callers

import kotlinx.coroutines.delay
import org.orioleferry.core.Clock
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.model.AcceptedJob
import org.orioleferry.scheduler.model.JobSpec
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.store.CommitResult
import org.orioleferry.scheduler.store.RowCondition
import org.orioleferry.scheduler.store.RowStore
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.RowWrite
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.store.ScanResult
import org.orioleferry.scheduler.store.StoredRow
import org.orioleferry.scheduler.store.read

/** Result of handing a job in. */
public sealed interface SubmitResult {
    /** The job is stored; [isRepeat] when an earlier call stored it. */
    public data class Accepted(
        val isRepeat: Boolean,
    ) : SubmitResult

    /** The job is not stored and this call never stores it. */
    public data class NotAccepted(
        val reason: String,
    ) : SubmitResult

    /** The job may be stored; the caller can find out by handing it in again. */
    public data class Unknown(
        val reason: String,
    ) : SubmitResult
}

/** Result of asking for, or changing, a job. */
public sealed interface LookupResult<out T> {
    public data class Found<T>(
        val value: T,
    ) : LookupResult<T>

    public data object NoSuchJob : LookupResult<Nothing>

    public data class Unavailable(
        val reason: String,
    ) : LookupResult<Nothing>
}

/** Takes jobs in, cancels them and tells their state, on any instance, through the store alone. */
public class JobDesk(
    private val store: RowStore,
    private val clock: Clock,
    private val log: DecisionLog,
    private val isStoreAway: () -> Boolean = { false },
) {
    private val endedStates = EndedStates()
    private var lengths: Map<String, Int> = emptyMap()
    private var lengthsCountedAtMs = Long.MIN_VALUE / 2
    private var lengthsReadAtMs = Long.MIN_VALUE / 2

    /** Stores the acceptance of [spec]; one id is stored once however often it is handed in. */
    public suspend fun submit(
        spec: JobSpec,
        deadlineMs: Long,
    ): SubmitResult {
        if (isStoreAway()) return SubmitResult.NotAccepted(AWAY)
        val endMs = clock.monotonicMs() + minOf(deadlineMs, LONGEST_WAIT_MS)
        val key = Rows.job(spec.id)
        val value = Rows.encode(AcceptedJob(spec, clock.wallMs()))
        val write = RowTransaction(listOf(RowCondition(key, 0)), listOf(RowWrite(key, value)))
        var isUncertain = false
        while (true) {
            when (val result = store.commit(write)) {
                is CommitResult.Committed -> return accepted(spec, "version" to result.version, isRepeat = false)
                is CommitResult.Conflicted -> return onConflict(spec, result)
                is CommitResult.Unavailable -> if (!isUncertain) return SubmitResult.NotAccepted(result.reason)
                is CommitResult.Unknown -> isUncertain = true
            }
            if (isStoreAway() || clock.monotonicMs() >= endMs) {
                log.record(SchedulerEvent.JOB_OUTCOME_UNKNOWN, spec.id, "away" to isStoreAway())
                return SubmitResult.Unknown("the store did not answer in time")
            }
            delay(RETRY_MS)
        }
    }

    private fun accepted(
        spec: JobSpec,
        input: Pair<String, Any?>,
        isRepeat: Boolean,
    ): SubmitResult {
        log.record(
            SchedulerEvent.JOB_ACCEPTED,
            spec.id,
            "queue" to spec.queue,
            "workspace" to spec.workspace,
            "repeat" to isRepeat,
            input,
        )
        return SubmitResult.Accepted(isRepeat)
    }

    private fun onConflict(
        spec: JobSpec,
        conflict: CommitResult.Conflicted,
    ): SubmitResult {
        val stored = conflict.rows.firstOrNull()?.let { Rows.decodeJob(it.value) }
        if (stored == null) return SubmitResult.NotAccepted("the row of the id holds something else")
        if (stored.spec.workspace !=
            spec.workspace
        ) {
            return SubmitResult.NotAccepted("the id belongs to another workspace")
        }
        return accepted(spec, "acceptedMs" to stored.acceptedMs, isRepeat = true)
    }

    /** State of a job as far as it is stored. */
    public suspend fun state(
        id: String,
        workspace: String,
    ): LookupResult<JobState> {
        endedStates[id]?.let { (owner, state) -> return visible(owner, workspace, state) }
        if (isStoreAway()) return LookupResult.Unavailable(AWAY)
        return when (val progress = readRow { store.read(Rows.progress(id)) }) {
            is LookupResult.Found -> {
                val stored = Rows.decodeProgress(progress.value.value) ?: return unreadable(progress.value)
                if (stored.state.isEnded) endedStates[id] = stored.workspace to stored.state
                visible(stored.workspace, workspace, stored.state)
            }
            LookupResult.NoSuchJob -> acceptedState(id, workspace)
            is LookupResult.Unavailable -> progress
        }
    }

    private suspend fun acceptedState(
        id: String,
        workspace: String,
    ): LookupResult<JobState> =
        when (val row = readRow { store.read(Rows.job(id)) }) {
            is LookupResult.Found -> {
                val stored = Rows.decodeJob(row.value.value) ?: return unreadable(row.value)
                visible(
                    stored.spec.workspace,
                    workspace,
                    if (stored.isCancelled) JobState.CANCELLED else JobState.QUEUED,
                )
            }
            LookupResult.NoSuchJob -> LookupResult.NoSuchJob
            is LookupResult.Unavailable -> row
        }

    private fun visible(
        owner: String,
        workspace: String,
        state: JobState,
    ): LookupResult<JobState> = if (owner == workspace) LookupResult.Found(state) else LookupResult.NoSuchJob

    private fun unreadable(row: StoredRow): LookupResult<Nothing> {
        log.record(SchedulerEvent.JOB_UNREADABLE, row.key.key, "table" to row.key.table, "version" to row.version)
        return LookupResult.Unavailable("the stored job cannot be read")
    }

    /** Marks a job as cancelled; the owner then stops what runs. */
    public suspend fun cancel(
        id: String,
        workspace: String,
        deadlineMs: Long,
    ): LookupResult<Unit> {
        val endMs = clock.monotonicMs() + minOf(deadlineMs, LONGEST_WAIT_MS)
        while (true) {
            if (isStoreAway()) return LookupResult.Unavailable(AWAY)
            val row =
                when (val read = readRow { store.read(Rows.job(id)) }) {
                    is LookupResult.Found -> read.value
                    LookupResult.NoSuchJob -> return LookupResult.NoSuchJob
                    is LookupResult.Unavailable -> null
                }
            if (row != null) {
                val stored = Rows.decodeJob(row.value) ?: return unreadable(row)
                if (stored.spec.workspace != workspace) return LookupResult.NoSuchJob
                if (stored.isCancelled || writeCancelled(row, stored)) {
                    log.record(SchedulerEvent.JOB_CANCEL_ACCEPTED, id, "version" to row.version)
                    return LookupResult.Found(Unit)
                }
            }
            if (clock.monotonicMs() >= endMs) return LookupResult.Unavailable("the store did not answer in time")
            delay(RETRY_MS)
        }
    }

    private suspend fun writeCancelled(
        row: StoredRow,
        stored: AcceptedJob,
    ): Boolean {
        val value = Rows.encode(stored.copy(isCancelled = true))
        val write = RowTransaction(listOf(RowCondition(row.key, row.version)), listOf(RowWrite(row.key, value)))
        return store.commit(write) is CommitResult.Committed
    }

    /** Jobs of [queue] that have not begun, at most [LENGTHS_AGE_MS] ago; null when no such count can be had. */
    public suspend fun waiting(queue: String): Int? {
        if (clock.monotonicMs() - lengthsReadAtMs > LENGTHS_KEPT_MS) {
            if (isStoreAway()) return null
            val sentAtMs = clock.monotonicMs()
            val scan = store.read(Rows.queueLengths) as? ScanResult.Rows ?: return null
            lengthsReadAtMs = sentAtMs
            val counted = scan.rows.firstOrNull()?.let { Rows.decodeWaiting(it.value) } ?: return null
            lengths = counted.byQueue
            lengthsCountedAtMs = sentAtMs - (scan.storeMs - counted.asOfMs)
        }
        return if (clock.monotonicMs() - lengthsCountedAtMs > LENGTHS_AGE_MS) null else lengths[queue] ?: 0
    }

    private suspend fun readRow(read: suspend () -> ScanResult): LookupResult<StoredRow> {
        var reason = ""
        repeat(READ_TRIES) {
            when (val scan = read()) {
                is ScanResult.Rows -> return scan.rows.firstOrNull()?.let { LookupResult.Found(it) }
                    ?: LookupResult.NoSuchJob
                is ScanResult.Unavailable -> reason = scan.reason
            }
        }
        return LookupResult.Unavailable(reason)
    }

    private companion object {
        const val RETRY_MS = 60L
        const val AWAY = "the store does not answer this instance"

        // Leaves the caller half of its usual 3 s for another instance.
        const val LONGEST_WAIT_MS = 1_400L
        const val READ_TRIES = 2

        // Spares the store's rate when many callers ask.
        const val LENGTHS_KEPT_MS = 300L

        // A promise of the callers' interface. Without an owner nobody counts, and an older count would be false.
        const val LENGTHS_AGE_MS = 2_000L
    }
}

/** Final states by job id, the newest [LIMIT] of them; they never change, so the store need not be asked again. */
private class EndedStates {
    private val states =
        object : LinkedHashMap<String, Pair<String, JobState>>() {
            override fun removeEldestEntry(eldest: Map.Entry<String, Pair<String, JobState>>): Boolean = size > LIMIT
        }

    operator fun get(id: String): Pair<String, JobState>? = states[id]

    operator fun set(
        id: String,
        value: Pair<String, JobState>,
    ) {
        states[id] = value
    }

    private companion object {
        // About 100 bytes each.
        const val LIMIT = 10_000
    }
}
