package org.orioleferry.scheduler.callers

import kotlinx.coroutines.delay
import org.orioleferry.core.Clock
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.SchedulerSettings
import org.orioleferry.scheduler.model.AcceptedJob
import org.orioleferry.scheduler.model.JobLimits
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

/**
 * Accepts jobs, cancels them and reports their state. Works on any instance, since it only uses the store.
 *
 * @param isSaturated whether the owner has reported that a workspace may add no open work.
 */
public class JobApi(
    private val store: RowStore,
    private val clock: Clock,
    private val log: DecisionLog,
    settings: SchedulerSettings,
    private val isSaturated: (workspace: String) -> Boolean = { false },
    private val isStoreUnavailable: () -> Boolean = { false },
) {
    private val maxRowBytes = settings.maxRowBytes
    private val limits = JobLimits(maxRowBytes)
    private val endedStates = EndedStateCache()
    private var lengthsByQueue: Map<String, Int> = emptyMap()
    private var lengthsCountedAtMs = Long.MIN_VALUE / 2
    private var lengthsReadAtMs = Long.MIN_VALUE / 2

    /**
     * Stores [spec] as accepted; retries for [timeoutMs] ms, but at most [MAX_WAIT_MS]. A job is stored once,
     * however often it is submitted under the same id.
     */
    public suspend fun submit(
        spec: JobSpec,
        timeoutMs: Long,
    ): SubmitResult {
        limits.violationOf(spec)?.let { return SubmitResult.Invalid(it) }
        if (isStoreUnavailable()) return SubmitResult.NotAccepted(STORE_UNAVAILABLE_REASON)
        if (isSaturated(spec.workspace)) return repeatOrTooMuch(spec)
        val endMs = clock.monotonicMs() + minOf(timeoutMs, MAX_WAIT_MS)
        val key = Rows.job(spec.id)
        val value = Rows.encode(AcceptedJob(spec, clock.wallMs()))
        val bytes = value.encodeToByteArray().size
        if (bytes > maxRowBytes) return SubmitResult.Invalid("the job has $bytes bytes, more than $maxRowBytes")
        val write = RowTransaction(listOf(RowCondition(key, 0)), listOf(RowWrite(key, value)))
        var isUncertain = false
        while (true) {
            when (val result = store.commit(write)) {
                is CommitResult.Committed -> return accepted(spec, "version" to result.version, isRepeat = false)
                is CommitResult.Conflicted -> return onConflict(spec, result.rows.firstOrNull())
                is CommitResult.Rejected -> return SubmitResult.Invalid(result.reason)
                is CommitResult.Unavailable -> if (!isUncertain) return SubmitResult.NotAccepted(result.reason)
                is CommitResult.Unknown -> isUncertain = true
            }
            if (isStoreUnavailable() || clock.monotonicMs() >= endMs) {
                log.record(SchedulerEvent.JOB_OUTCOME_UNKNOWN, spec.id, "away" to isStoreUnavailable())
                return SubmitResult.Unknown("the store did not answer in time")
            }
            delay(RETRY_DELAY_MS)
        }
    }

    /** Accepts [spec] only if an earlier call has stored it, since a refusal says that the job never runs. */
    private suspend fun repeatOrTooMuch(spec: JobSpec): SubmitResult =
        when (val row = readRow(clock.monotonicMs() + MAX_WAIT_MS) { store.read(Rows.job(spec.id)) }) {
            is LookupResult.Found -> onConflict(spec, row.value)
            LookupResult.NoSuchJob -> SubmitResult.TooMuchOpenWork
            is LookupResult.Unavailable -> SubmitResult.NotAccepted(row.reason)
            is LookupResult.Unknown -> SubmitResult.NotAccepted(row.reason)
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
        row: StoredRow?,
    ): SubmitResult {
        val stored = row?.let { Rows.decodeJob(it.value) }
        if (stored == null) return SubmitResult.NotAccepted("the row of the id holds something else")
        if (stored.spec.workspace !=
            spec.workspace
        ) {
            return SubmitResult.NotAccepted("the id belongs to another workspace")
        }
        return accepted(spec, "acceptedMs" to stored.acceptedMs, isRepeat = true)
    }

    /** Returns the state of a job as last stored; reads it again for [timeoutMs] ms, but at most [MAX_WAIT_MS]. */
    public suspend fun state(
        id: String,
        workspace: String,
        timeoutMs: Long = MAX_WAIT_MS,
    ): LookupResult<JobState> {
        val endMs = clock.monotonicMs() + minOf(timeoutMs, MAX_WAIT_MS)
        endedStates[id]?.let { (jobWorkspace, state) -> return stateIfVisible(jobWorkspace, workspace, state) }
        if (isStoreUnavailable()) return LookupResult.Unavailable(STORE_UNAVAILABLE_REASON)
        return when (val progress = readRow(endMs) { store.read(Rows.progress(id)) }) {
            is LookupResult.Found -> {
                val stored = Rows.decodeProgress(progress.value.value) ?: return unreadable(progress.value)
                if (stored.state.isEnded) endedStates[id] = stored.workspace to stored.state
                stateIfVisible(stored.workspace, workspace, stored.state)
            }
            LookupResult.NoSuchJob -> acceptedState(id, workspace, endMs)
            is LookupResult.Unavailable -> progress
            is LookupResult.Unknown -> progress
        }
    }

    private suspend fun acceptedState(
        id: String,
        workspace: String,
        endMs: Long,
    ): LookupResult<JobState> =
        when (val row = readRow(endMs) { store.read(Rows.job(id)) }) {
            is LookupResult.Found -> {
                val stored = Rows.decodeJob(row.value.value) ?: return unreadable(row.value)
                stateIfVisible(
                    stored.spec.workspace,
                    workspace,
                    if (stored.isCancelled) JobState.CANCELLED else JobState.QUEUED,
                )
            }
            LookupResult.NoSuchJob -> LookupResult.NoSuchJob
            is LookupResult.Unavailable -> row
            is LookupResult.Unknown -> row
        }

    private fun stateIfVisible(
        jobWorkspace: String,
        workspace: String,
        state: JobState,
    ): LookupResult<JobState> = if (jobWorkspace == workspace) LookupResult.Found(state) else LookupResult.NoSuchJob

    private fun unreadable(row: StoredRow): LookupResult<Nothing> {
        log.record(SchedulerEvent.JOB_UNREADABLE, row.key.key, "table" to row.key.table, "version" to row.version)
        return LookupResult.Unavailable("the stored job cannot be read")
    }

    /**
     * Marks a job as cancelled; retries for [timeoutMs] ms, but at most [MAX_WAIT_MS]. The owner then stops its runs.
     */
    public suspend fun cancel(
        id: String,
        workspace: String,
        timeoutMs: Long,
    ): LookupResult<Unit> {
        val endMs = clock.monotonicMs() + minOf(timeoutMs, MAX_WAIT_MS)
        var isUncertain = false
        while (true) {
            if (isStoreUnavailable()) return cancelFailed(id, STORE_UNAVAILABLE_REASON, isUncertain)
            val row =
                when (val read = readRow(endMs) { store.read(Rows.job(id)) }) {
                    is LookupResult.Found -> read.value
                    LookupResult.NoSuchJob -> return LookupResult.NoSuchJob
                    is LookupResult.Unavailable, is LookupResult.Unknown -> null
                }
            if (row != null) {
                val stored = Rows.decodeJob(row.value) ?: return unreadable(row)
                if (stored.spec.workspace != workspace) return LookupResult.NoSuchJob
                val result = if (stored.isCancelled) null else writeCancelled(row, stored)
                if (result == null || result is CommitResult.Committed) {
                    log.record(SchedulerEvent.JOB_CANCEL_ACCEPTED, id, "version" to row.version)
                    return LookupResult.Found(Unit)
                }
                if (result is CommitResult.Unknown) isUncertain = true
            }
            if (clock.monotonicMs() >= endMs) return cancelFailed(id, "the store did not answer in time", isUncertain)
            delay(RETRY_DELAY_MS)
        }
    }

    private fun cancelFailed(
        id: String,
        reason: String,
        isUncertain: Boolean,
    ): LookupResult<Nothing> {
        if (!isUncertain) return LookupResult.Unavailable(reason)
        log.record(SchedulerEvent.JOB_OUTCOME_UNKNOWN, id, "call" to "cancel", "reason" to reason)
        return LookupResult.Unknown(reason)
    }

    private suspend fun writeCancelled(
        row: StoredRow,
        stored: AcceptedJob,
    ): CommitResult {
        val value = Rows.encode(stored.copy(isCancelled = true))
        val write = RowTransaction(listOf(RowCondition(row.key, row.version)), listOf(RowWrite(row.key, value)))
        return store.commit(write)
    }

    /**
     * Returns the number of jobs of [queue] that have not started, counted at most [MAX_LENGTHS_AGE_MS] ms ago, or null
     * when no such count is available.
     */
    public suspend fun queueLength(queue: String): Int? {
        if (clock.monotonicMs() - lengthsReadAtMs > LENGTHS_CACHE_MS) {
            if (isStoreUnavailable()) return null
            val sentAtMs = clock.monotonicMs()
            val scan = store.read(Rows.queueLengths) as? ScanResult.Rows ?: return null
            lengthsReadAtMs = sentAtMs
            val counted = scan.rows.firstOrNull()?.let { Rows.decodeWaiting(it.value) } ?: return null
            lengthsByQueue = counted.byQueue
            lengthsCountedAtMs = sentAtMs - (scan.storeMs - counted.asOfMs)
        }
        return if (clock.monotonicMs() - lengthsCountedAtMs > MAX_LENGTHS_AGE_MS) null else lengthsByQueue[queue] ?: 0
    }

    /**
     * Reads a row until [endMs] on the monotonic clock, at least twice. Ends sooner when the store is known not to answer
     * this instance.
     */
    private suspend fun readRow(
        endMs: Long,
        read: suspend () -> ScanResult,
    ): LookupResult<StoredRow> {
        var attempts = 0
        while (true) {
            attempts++
            val reason =
                when (val scan = read()) {
                    is ScanResult.Rows -> return scan.rows.firstOrNull()?.let { LookupResult.Found(it) }
                        ?: LookupResult.NoSuchJob
                    is ScanResult.Unavailable -> scan.reason
                }
            val isOver = isStoreUnavailable() || clock.monotonicMs() >= endMs
            if (isOver && attempts >= MIN_READ_ATTEMPTS) return LookupResult.Unavailable(reason)
            if (!isOver) delay(RETRY_DELAY_MS)
        }
    }

    private companion object {
        const val RETRY_DELAY_MS = 60L
        const val STORE_UNAVAILABLE_REASON = "the store does not answer this instance"

        // Leaves the caller about half of its usual deadline of 3 s to retry with another instance.
        const val MAX_WAIT_MS = 1_400L

        // One lost answer does not show that the store is unavailable.
        const val MIN_READ_ATTEMPTS = 2

        // Limits the reads from the store when many callers ask.
        const val LENGTHS_CACHE_MS = 300L

        // Documented in the callers' interface. Without an owner no new counts are stored, and an older one is wrong.
        const val MAX_LENGTHS_AGE_MS = 2_000L
    }
}
