package org.orioleferry.scheduler.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.scheduler.store.CommitResult
import org.orioleferry.scheduler.store.FeedResult
import org.orioleferry.scheduler.store.RowKey
import org.orioleferry.scheduler.store.RowStore
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.RowWrite
import org.orioleferry.scheduler.store.ScanResult
import org.orioleferry.scheduler.store.StoreHealth
import org.orioleferry.scheduler.store.StoredRow

/** Outcome of a simulated write: applied, refused, or answer lost with or without effect. */
enum class WriteFault { NONE, REFUSED, ANSWER_LOST_APPLIED, ANSWER_LOST_NOT_APPLIED }

/** The rows that all clients of one simulated store share. */
class SimulatedRows {
    private val rows = sortedMapOf<String, StoredRow>()
    private val history = ArrayList<StoredRow>()
    private var trimmedUpTo = 0L
    val version = MutableStateFlow(0L)

    /** The monotonic clock of the store. */
    var nowMs: () -> Long = { 0 }

    /** Whether conditions of transactions are ignored, to show which faults they prevent. */
    var ignoresConditions = false

    /** Largest value of a row; transactions with a larger one are rejected. */
    var maxRowBytes = Int.MAX_VALUE

    /** Whether a transaction with this write is rejected. */
    var rejects: (RowWrite) -> Boolean = { false }

    fun scan(
        table: String,
        part: String,
        from: String?,
        until: String?,
        limit: Int,
    ): ScanResult.Rows {
        val all =
            rows.values.filter {
                it.key.table == table &&
                    it.key.part == part &&
                    (from == null || it.key.key >= from) &&
                    (until == null || it.key.key < until)
            }
        return ScanResult.Rows(all.take(limit), version.value, all.size > limit, nowMs())
    }

    fun changes(
        table: String,
        after: Long,
    ): List<StoredRow>? =
        if (after <
            trimmedUpTo
        ) {
            null
        } else {
            history.takeLastWhile { it.version > after }.filter { it.key.table == table }
        }

    fun trimHistory() {
        trimmedUpTo = version.value
    }

    fun apply(transaction: RowTransaction): CommitResult {
        if (transaction.writes.any { it.value.length > maxRowBytes || rejects(it) }) return REJECTED
        val present = transaction.conditions.map { it to rows[name(it.key)] }
        if (!ignoresConditions && present.any { (condition, row) -> (row?.version ?: 0) != condition.version }) {
            return CommitResult.Conflicted(present.mapNotNull { it.second })
        }
        val next = version.value + 1
        transaction.writes.forEach { write -> put(StoredRow(write.key, write.value, next)) }
        transaction.removals.forEach { key ->
            rows.remove(name(key))
            history += StoredRow(key, "", next, isDeleted = true)
        }
        version.value = next
        return CommitResult.Committed(next, nowMs())
    }

    private fun put(row: StoredRow) {
        rows[name(row.key)] = row
        history += row
    }

    private fun name(key: RowKey): String = "${key.table}|${key.part}|${key.key}"

    private companion object {
        val REJECTED = CommitResult.Rejected("a value is too large or not allowed")
    }
}

/** Connection of one instance to the store, with its own faults. */
class SimulatedStore(
    private val rows: SimulatedRows,
    private val health: StoreHealth,
) : RowStore {
    var isUnavailable = false

    /** Whether reads of whole parts fail, as they do over a link with too little bandwidth. */
    var failsScans = false
    var nextWrite: (RowTransaction) -> WriteFault = { WriteFault.NONE }

    /** Number of next reads of single rows whose answers are lost. */
    var readAnswersToLose = 0
    var writes = 0

    /** Time that an answer takes, ms. */
    var answerMs = ANSWER_MS

    override suspend fun scan(
        table: String,
        part: String,
        from: String?,
        until: String?,
        limit: Int,
    ): ScanResult {
        delay(answerMs)
        if (limit == 1 && readAnswersToLose > 0) {
            readAnswersToLose--
            return ScanResult.Unavailable("lost").also { health.recordCall(false, it.reason) }
        }
        health.recordCall(!isUnavailable, "simulated")
        return if (isUnavailable ||
            (failsScans && limit > 1)
        ) {
            ScanResult.Unavailable("away")
        } else {
            rows.scan(table, part, from, until, limit)
        }
    }

    override suspend fun feed(
        table: String,
        after: Long,
        waitMs: Int,
    ): FeedResult {
        delay(answerMs)
        health.recordCall(!isUnavailable, "simulated")
        if (isUnavailable) return FeedResult.Unavailable("away")
        withTimeoutOrNull(waitMs.toLong()) { rows.version.first { rows.changes(table, after)?.isNotEmpty() ?: true } }
        if (isUnavailable) return FeedResult.Unavailable("away")
        val changes = rows.changes(table, after) ?: return FeedResult.HistoryLost
        return FeedResult.Changes(changes, rows.version.value)
    }

    override suspend fun commit(transaction: RowTransaction): CommitResult {
        delay(answerMs)
        health.recordCall(!isUnavailable, "simulated")
        if (isUnavailable) return CommitResult.Unavailable("away")
        writes++
        return when (nextWrite(transaction)) {
            WriteFault.NONE -> rows.apply(transaction)
            WriteFault.REFUSED -> CommitResult.Unavailable("refused")
            WriteFault.ANSWER_LOST_APPLIED -> CommitResult.Unknown("lost").also { rows.apply(transaction) }
            WriteFault.ANSWER_LOST_NOT_APPLIED -> CommitResult.Unknown("lost")
        }
    }

    private companion object {
        const val ANSWER_MS = 5L
    }
}
