package org.orioleferry.scheduler.callers

import kotlinx.coroutines.delay
import org.orioleferry.core.Clock
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.model.CancelledSubmission
import org.orioleferry.scheduler.store.CommitResult
import org.orioleferry.scheduler.store.RowCondition
import org.orioleferry.scheduler.store.RowStore
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.RowWrite
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.store.StoredRow

/**
 * Cancels jobs. A job that is not stored may still be: the store can perform a submission seconds after its caller has
 * given up. Its cancelling is stored in its place, so that the submission conflicts with it.
 */
internal class JobCancellation(
    private val store: RowStore,
    private val rows: JobRowReader,
    private val clock: Clock,
    private val log: DecisionLog,
    private val isStoreUnavailable: () -> Boolean,
) {
    /** One attempt: the [answer], or null with the [result] of the write after which to try again. */
    private class Attempt(
        val answer: LookupResult<Unit>?,
        val result: CommitResult? = null,
    )

    /** Cancels the job [id]; retries until [endMs] on the monotonic clock. */
    suspend fun cancel(
        id: String,
        workspace: String,
        endMs: Long,
    ): LookupResult<Unit> {
        var isUncertain = false
        while (true) {
            if (isStoreUnavailable()) return failed(id, STORE_UNAVAILABLE_REASON, isUncertain)
            val attempt =
                when (val read = rows.read(Rows.job(id), endMs)) {
                    is LookupResult.Found -> cancelStored(id, workspace, read.value)
                    LookupResult.NoSuchJob -> cancelAbsent(id, workspace, null)
                    is LookupResult.Unavailable, is LookupResult.Unknown -> Attempt(null)
                }
            if (attempt.answer != null) return attempt.answer
            if (attempt.result is CommitResult.Unknown) isUncertain = true
            if (clock.monotonicMs() >= endMs) return failed(id, "the store did not answer in time", isUncertain)
            delay(RETRY_DELAY_MS)
        }
    }

    private suspend fun cancelStored(
        id: String,
        workspace: String,
        row: StoredRow,
    ): Attempt {
        if (cancelledFor(row) != null) return cancelAbsent(id, workspace, row)
        val stored = Rows.decodeJob(row.value) ?: return Attempt(rows.unreadable(row))
        if (stored.spec.workspace != workspace) return Attempt(LookupResult.NoSuchJob)
        val result = if (stored.isCancelled) null else commitOver(row, Rows.encode(stored.copy(isCancelled = true)))
        if (result != null && result !is CommitResult.Committed) return Attempt(null, result)
        log.record(SchedulerEvent.JOB_CANCEL_ACCEPTED, id, "version" to row.version)
        return Attempt(LookupResult.Found(Unit))
    }

    /** Stores that the job [id] was cancelled although it is not stored; [row] is an earlier such record or null. */
    private suspend fun cancelAbsent(
        id: String,
        workspace: String,
        row: StoredRow?,
    ): Attempt {
        val earlier = row?.let { cancelledFor(it) }.orEmpty()
        if (workspace in earlier) return Attempt(LookupResult.NoSuchJob)
        val value = Rows.encode(CancelledSubmission(earlier + workspace, clock.wallMs()))
        val result = commitOver(row ?: StoredRow(Rows.job(id), "", version = 0), value)
        if (result !is CommitResult.Committed) return Attempt(null, result)
        log.record(SchedulerEvent.JOB_CANCEL_ACCEPTED, id, "version" to result.version, "stored" to false)
        return Attempt(LookupResult.NoSuchJob)
    }

    private suspend fun commitOver(
        row: StoredRow,
        value: String,
    ): CommitResult =
        store.commit(RowTransaction(listOf(RowCondition(row.key, row.version)), listOf(RowWrite(row.key, value))))

    private fun failed(
        id: String,
        reason: String,
        isUncertain: Boolean,
    ): LookupResult<Nothing> {
        if (!isUncertain) return LookupResult.Unavailable(reason)
        log.record(SchedulerEvent.JOB_OUTCOME_UNKNOWN, id, "call" to "cancel", "reason" to reason)
        return LookupResult.Unknown(reason)
    }
}
