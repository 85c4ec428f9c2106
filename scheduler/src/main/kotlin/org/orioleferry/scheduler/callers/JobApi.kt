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
import org.orioleferry.scheduler.model.LoadForecast
import org.orioleferry.scheduler.placement.AdmissionPolicy
import org.orioleferry.scheduler.placement.LoadRefusal
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
 * @param forecast returns the owner's forecast of the waits of new work with its age, or null without one; used only
 *   where [SchedulerSettings.shortage] is set.
 */
public class JobApi(
    private val store: RowStore,
    private val clock: Clock,
    private val log: DecisionLog,
    settings: SchedulerSettings,
    private val isSaturated: (workspace: String) -> Boolean = { false },
    private val forecast: () -> LoadForecast? = { null },
    private val isStoreUnavailable: () -> Boolean = { false },
) {
    private val maxRowBytes = settings.maxRowBytes
    private val refusesByLoad = settings.shortage != null
    private val limits = JobLimits(maxRowBytes)
    private val endedStates = EndedStateCache()
    private val rows = JobRowReader(store, clock, log, isStoreUnavailable)
    private val cancellation = JobCancellation(store, rows, clock, log, isStoreUnavailable)
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
        if (isSaturated(spec.workspace)) {
            return repeatOr(spec, clock.monotonicMs() + MAX_WAIT_MS) { SubmitResult.TooMuchOpenWork }
        }
        val endMs = clock.monotonicMs() + minOf(timeoutMs, MAX_WAIT_MS)
        val key = Rows.job(spec.id)
        val value = Rows.encode(AcceptedJob(spec, clock.wallMs()))
        val bytes = value.encodeToByteArray().size
        if (bytes > maxRowBytes) return SubmitResult.Invalid("the job has $bytes bytes, more than $maxRowBytes")
        val refusal = if (refusesByLoad) AdmissionPolicy.refusalOf(spec, forecast()) else null
        if (refusal != null) return repeatOr(spec, endMs) { refused(spec, refusal) }
        var expectedVersion = 0L
        var isUncertain = false
        while (true) {
            val write = RowTransaction(listOf(RowCondition(key, expectedVersion)), listOf(RowWrite(key, value)))
            when (val result = store.commit(write)) {
                is CommitResult.Committed -> return accepted(spec, "version" to result.version, isRepeat = false)
                is CommitResult.Conflicted -> {
                    val row = result.rows.firstOrNull()
                    val isOtherWorkspaces = row != null && cancelledFor(row)?.contains(spec.workspace) == false
                    if (!isOtherWorkspaces) return onConflict(spec, row)
                    expectedVersion = row.version
                }
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

    /**
     * Accepts [spec] if an earlier call has stored it, since a refusal says that the job never runs; otherwise returns the
     * result of [refuse]. Reads the job's row until [endMs] on the monotonic clock.
     */
    private suspend fun repeatOr(
        spec: JobSpec,
        endMs: Long,
        refuse: () -> SubmitResult,
    ): SubmitResult =
        when (val row = rows.read(Rows.job(spec.id), endMs)) {
            is LookupResult.Found -> onConflict(spec, row.value)
            LookupResult.NoSuchJob -> refuse()
            is LookupResult.Unavailable -> SubmitResult.NotAccepted(row.reason)
            is LookupResult.Unknown -> SubmitResult.NotAccepted(row.reason)
        }

    private fun refused(
        spec: JobSpec,
        refusal: LoadRefusal,
    ): SubmitResult {
        log.record(
            SchedulerEvent.JOB_REFUSED,
            spec.id,
            "queue" to spec.queue,
            "workspace" to spec.workspace,
            "service" to spec.service,
            "priority" to spec.policy?.priority,
            "waitMs" to refusal.waitMs,
            "forecastAgeMs" to refusal.ageMs,
            "chainMs" to refusal.chainMs,
            "limitMs" to refusal.limitMs,
            "retryAfterS" to refusal.retryAfterS,
        )
        return SubmitResult.NoCapacity(refusal.retryAfterS)
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
        if (row != null && cancelledFor(row)?.contains(spec.workspace) == true) {
            log.record(SchedulerEvent.JOB_CANCEL_ACCEPTED, spec.id, "version" to row.version, "late" to true)
            return SubmitResult.Cancelled
        }
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
        return when (val progress = rows.read(Rows.progress(id), endMs)) {
            is LookupResult.Found -> {
                val stored = Rows.decodeProgress(progress.value.value) ?: return rows.unreadable(progress.value)
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
        when (val row = rows.read(Rows.job(id), endMs)) {
            is LookupResult.Found -> stateOf(row.value, workspace)
            LookupResult.NoSuchJob -> LookupResult.NoSuchJob
            is LookupResult.Unavailable -> row
            is LookupResult.Unknown -> row
        }

    private fun stateOf(
        row: StoredRow,
        workspace: String,
    ): LookupResult<JobState> {
        if (cancelledFor(row) != null) return LookupResult.NoSuchJob
        val stored = Rows.decodeJob(row.value) ?: return rows.unreadable(row)
        val state = if (stored.isCancelled) JobState.CANCELLED else JobState.QUEUED
        return stateIfVisible(stored.spec.workspace, workspace, state)
    }

    private fun stateIfVisible(
        jobWorkspace: String,
        workspace: String,
        state: JobState,
    ): LookupResult<JobState> = if (jobWorkspace == workspace) LookupResult.Found(state) else LookupResult.NoSuchJob

    /**
     * Marks a job as cancelled; retries for [timeoutMs] ms, but at most [MAX_WAIT_MS]. The owner then stops its runs.
     * [LookupResult.NoSuchJob] also says that a submission under [id] that is still under way will not be stored.
     */
    public suspend fun cancel(
        id: String,
        workspace: String,
        timeoutMs: Long,
    ): LookupResult<Unit> = cancellation.cancel(id, workspace, clock.monotonicMs() + minOf(timeoutMs, MAX_WAIT_MS))

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

    private companion object {
        // Leaves the caller about half of its usual deadline of 3 s to retry with another instance.
        const val MAX_WAIT_MS = 1_400L

        // Limits the reads from the store when many callers ask.
        const val LENGTHS_CACHE_MS = 300L

        // Documented in the callers' interface. Without an owner no new counts are stored, and an older one is wrong.
        const val MAX_LENGTHS_AGE_MS = 2_000L
    }
}
