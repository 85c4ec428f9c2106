package org.orioleferry.daemon.requests

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.core.Clock
import org.orioleferry.core.model.InstanceId
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.Row
import org.orioleferry.platform.TableService

/**
 * Finds orphaned intent rows: rows of dead instances, and rows of an earlier run of this instance.
 *
 * Rows are orphaned when an instance ends, so the whole table is scanned [PASSES] times after the start and after each
 * change of the live instances, one page per period. Between these passes, one small page every [IDLE_PERIOD_MS] finds
 * rows that a pass has missed; a page of 200 rows each second would take 84 KB/s, and a node may use 3 KB/s. A row is
 * passed to the resolver [RequestSettings.orphanAfterMs] after it was first seen, since the list of live instances
 * lags.
 */
internal class OrphanScan(
    private val table: TableService,
    private val resolver: Resolver,
    private val clock: Clock,
    private val settings: RequestSettings,
    private val peers: RequestPeers,
) {
    private class Candidate(
        val key: String,
        val dueMs: Long,
    )

    private val candidates = LinkedHashMap<String, Candidate>()
    private var cursor: String? = null
    private var lastLiveInstances = emptySet<InstanceId>()
    private var remainingPasses = PASSES
    private var nextIdlePageMs = 0L

    /** Scans until it is cancelled. */
    suspend fun run() {
        while (true) {
            delay(settings.scanPeriodMs)
            restartOnMembershipChange()
            if (remainingPasses > 0) scanPage(PAGE_ROWS) else scanIdlePage()
            offerDueCandidates()
        }
    }

    private fun restartOnMembershipChange() {
        val live = peers.liveInstances()
        if (live == lastLiveInstances) return
        lastLiveInstances = live
        remainingPasses = PASSES
        cursor = null
    }

    private suspend fun scanIdlePage() {
        val now = clock.monotonicMs()
        if (now < nextIdlePageMs) return
        nextIdlePageMs = now + IDLE_PERIOD_MS
        scanPage(IDLE_PAGE_ROWS)
    }

    private suspend fun scanPage(limit: Int) {
        val read =
            withTimeoutOrNull(settings.storeDeadlineMs) {
                table.scan(RequestRecord.TABLE, prefix = "", after = cursor, limit = limit)
            }
        val rows = (read as? ReadResult.Found ?: return).value
        cursor = if (rows.size < limit) null else rows.last().key
        if (cursor == null && remainingPasses > 0) remainingPasses--
        rows.forEach(::addIfOrphaned)
    }

    private fun addIfOrphaned(row: Row) {
        val record = RequestRecord.parse(row.value) ?: return
        if (record.state != RecordState.INTENT || !resolver.isOrphan(record) || !isAssignedHere(row.key, record)) return
        if (candidates.size >= MAX_CANDIDATES) return
        candidates.putIfAbsent(record.requestId, Candidate(row.key, clock.monotonicMs() + settings.orphanAfterMs))
    }

    private fun isAssignedHere(
        key: String,
        record: RequestRecord,
    ): Boolean {
        if (record.instance == settings.instance) return true
        return peers.selectHandler(key, peers.liveInstances() + settings.instance) == settings.instance
    }

    private fun offerDueCandidates() {
        val now = clock.monotonicMs()
        val due = candidates.filterValues { it.dueMs <= now }
        due.forEach { (requestId, candidate) ->
            candidates.remove(requestId)
            resolver.offer(candidate.key, requestId)
        }
    }

    private companion object {
        const val PAGE_ROWS = 200
        const val IDLE_PAGE_ROWS = 20
        const val IDLE_PERIOD_MS = 60_000L

        // The second pass finds rows that were written behind the cursor of the first one.
        const val PASSES = 2
        const val MAX_CANDIDATES = 10_000
    }
}
