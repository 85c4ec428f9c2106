package org.orioleferry.scheduler.callers

import kotlinx.coroutines.delay
import org.orioleferry.core.Clock
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.store.RowKey
import org.orioleferry.scheduler.store.RowStore
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.store.ScanResult
import org.orioleferry.scheduler.store.StoredRow
import org.orioleferry.scheduler.store.read

/** Pause between two calls to the store for the same caller. */
internal const val RETRY_DELAY_MS = 60L
internal const val STORE_UNAVAILABLE_REASON = "the store does not answer this instance"

/** Reads single rows of jobs on behalf of callers. */
internal class JobRowReader(
    private val store: RowStore,
    private val clock: Clock,
    private val log: DecisionLog,
    private val isStoreUnavailable: () -> Boolean,
) {
    /**
     * Reads the row [key] until [endMs] on the monotonic clock, at least twice. Ends sooner when the store is known not
     * to answer this instance.
     */
    suspend fun read(
        key: RowKey,
        endMs: Long,
    ): LookupResult<StoredRow> {
        var attempts = 0
        while (true) {
            attempts++
            val reason =
                when (val scan = store.read(key)) {
                    is ScanResult.Rows -> return scan.rows.firstOrNull()?.let { LookupResult.Found(it) }
                        ?: LookupResult.NoSuchJob
                    is ScanResult.Unavailable -> scan.reason
                }
            val isOver = isStoreUnavailable() || clock.monotonicMs() >= endMs
            if (isOver && attempts >= MIN_READ_ATTEMPTS) return LookupResult.Unavailable(reason)
            if (!isOver) delay(RETRY_DELAY_MS)
        }
    }

    fun unreadable(row: StoredRow): LookupResult<Nothing> {
        log.record(SchedulerEvent.JOB_UNREADABLE, row.key.key, "table" to row.key.table, "version" to row.version)
        return LookupResult.Unavailable("the stored job cannot be read")
    }

    private companion object {
        // One lost answer does not show that the store is unavailable.
        const val MIN_READ_ATTEMPTS = 2
    }
}

/** Returns the workspaces that have cancelled the job of [row] before it was stored, or null if it holds something else. */
internal fun cancelledFor(row: StoredRow): Set<String>? = Rows.decodeCancelled(row.value)?.workspaces
