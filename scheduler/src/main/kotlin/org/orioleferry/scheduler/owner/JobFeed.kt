package org.orioleferry.scheduler.owner

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.orioleferry.core.Clock
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.store.FeedResult
import org.orioleferry.scheduler.store.RowStore
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.store.ScanResult
import org.orioleferry.scheduler.store.StoredRow
import org.orioleferry.scheduler.store.read
import org.orioleferry.scheduler.store.scanAll

/**
 * Follows the accepted jobs in the store.
 *
 * New jobs are seen as soon as the store answers: after a loss of the history the feed goes on from the newest version
 * while the whole table is read beside it, and calls are short while the store does not answer.
 *
 * @param removeMissing removes the jobs that a whole read of the table, at the given version, does not have.
 * @param onChange called after rows were applied.
 */
internal class JobFeed(
    private val store: RowStore,
    private val clock: Clock,
    private val log: DecisionLog,
    private val removeMissing: (rows: List<StoredRow>, version: Long) -> Unit,
    private val onChange: () -> Unit,
) {
    /** Requests for a read of the whole table; one that arrives during a read leads to another read. */
    private val rereads = Channel<Unit>(Channel.CONFLATED)

    /** Versions of the deletions that the feed has shown since the latest request, which a running read may not show. */
    private val deletedVersions = HashMap<String, Long>()

    /** Number of requests for a read; a read that began before the latest one may miss deletions and is discarded. */
    private var requests = 0

    /** Passes all rows that change after [fromVersion] to [apply], until cancelled. */
    suspend fun follow(
        fromVersion: Long,
        apply: (StoredRow) -> Unit,
    ): Unit =
        coroutineScope {
            launch {
                for (request in rereads) {
                    while (!reread(apply)) delay(RETRY_MS)
                }
            }
            var seenVersion = fromVersion
            var waitMs = FEED_WAIT_MS
            var wasLost = false
            while (true) {
                val feed = store.feed(Rows.JOBS, seenVersion, waitMs)
                when (feed) {
                    is FeedResult.Changes -> {
                        waitMs = FEED_WAIT_MS
                        seenVersion = feed.version
                        feed.rows.filter { it.isDeleted }.forEach { deletedVersions[it.key.key] = it.version }
                        feed.rows.forEach(apply)
                        if (feed.rows.isNotEmpty()) onChange()
                    }
                    FeedResult.HistoryLost -> {
                        // A store that keeps no history at all would be asked without a pause.
                        if (wasLost) delay(RETRY_MS)
                        seenVersion = newestVersion() ?: seenVersion.also { delay(RETRY_MS) }
                    }
                    is FeedResult.Unavailable -> {
                        // A call that was sent into an outage without answers lasts as long as its wait.
                        waitMs = 0
                        delay(RETRY_MS)
                    }
                }
                wasLost = feed == FeedResult.HistoryLost
            }
        }

    /**
     * Returns the newest version of the store and requests a read of the whole table, which begins later and therefore
     * shows every change up to that version.
     */
    private suspend fun newestVersion(): Long? {
        val scan = store.read(Rows.fence) as? ScanResult.Rows ?: return null
        deletedVersions.clear()
        requests++
        rereads.trySend(Unit)
        return scan.version
    }

    /** Reads the whole table. Returns whether no further read is needed for the request. */
    private suspend fun reread(apply: (StoredRow) -> Unit): Boolean {
        val beganMs = clock.monotonicMs()
        val request = requests
        val scans = (0 until Rows.JOB_PARTS).map { store.scanAll(Rows.JOBS, it.toString()) }
        val completed = scans.filterIsInstance<ScanResult.Rows>()
        // The read that was requested meanwhile follows.
        if (request != requests) return true
        if (completed.size < scans.size) return false
        val rows = completed.flatMap { it.rows }
        rows.filter { row -> deletedVersions[row.key.key]?.let { it < row.version } ?: true }.forEach(apply)
        removeMissing(rows, completed.minOf { it.version })
        log.record(
            SchedulerEvent.JOBS_REREAD,
            Rows.JOBS,
            "jobs" to rows.size,
            "tookMs" to clock.monotonicMs() - beganMs,
        )
        onChange()
        return true
    }

    private companion object {
        const val FEED_WAIT_MS = 2_000
        const val RETRY_MS = 150L
    }
}
