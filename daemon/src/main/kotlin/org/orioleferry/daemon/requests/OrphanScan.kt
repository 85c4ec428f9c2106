package org.orioleferry.daemon.requests

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.core.Clock
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.Row
import org.orioleferry.platform.TableService

/**
 * Finds intent rows on which nobody works: rows of dead instances, and rows of an earlier run of this instance.
 *
 * One page is read in each period, so the load on the store is bounded and a pass takes longer as the table grows. A
 * row goes to the resolver after it was seen for a while, since the list of live instances lags.
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

    /** Scans until it is cancelled. */
    suspend fun run() {
        while (true) {
            delay(settings.scanPeriodMs)
            scanPage()
            offerDue()
        }
    }

    private suspend fun scanPage() {
        val read =
            withTimeoutOrNull(settings.storeDeadlineMs) {
                table.scan(RequestRecord.TABLE, prefix = "", after = cursor, limit = PAGE_ROWS)
            }
        val rows = (read as? ReadResult.Found ?: return).value
        cursor = if (rows.size < PAGE_ROWS) null else rows.last().key
        rows.forEach(::consider)
    }

    private fun consider(row: Row) {
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
        return peers.assigned(key, peers.liveInstances() + settings.instance) == settings.instance
    }

    private fun offerDue() {
        val now = clock.monotonicMs()
        val due = candidates.filterValues { it.dueMs <= now }
        due.forEach { (requestId, candidate) ->
            candidates.remove(requestId)
            resolver.offer(candidate.key, requestId)
        }
    }

    private companion object {
        const val PAGE_ROWS = 200
        const val MAX_CANDIDATES = 10_000
    }
}
