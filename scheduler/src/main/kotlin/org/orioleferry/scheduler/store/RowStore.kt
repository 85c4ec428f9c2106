package org.orioleferry.scheduler.store

/** Address of a row. Rows of one [part] can change in one transaction. */
public data class RowKey(
    val table: String,
    val part: String,
    val key: String,
)

/** A row as read; [isDeleted] marks a removal in a feed. */
public data class StoredRow(
    val key: RowKey,
    val value: String,
    val version: Long,
    val isDeleted: Boolean = false,
)

/** Requires that a row has [version]; 0 means absent. */
public data class RowCondition(
    val key: RowKey,
    val version: Long,
)

/** New value of a row. */
public data class RowWrite(
    val key: RowKey,
    val value: String,
)

/** All rows belong to one part. */
public data class RowTransaction(
    val conditions: List<RowCondition> = emptyList(),
    val writes: List<RowWrite> = emptyList(),
    val removals: List<RowKey> = emptyList(),
)

/** Result of a read. */
public sealed interface ScanResult {
    /**
     * [rows] of one moment in key order; [version] is the newest version of the store and [storeMs] the time on its
     * steady clock.
     */
    public data class Rows(
        val rows: List<StoredRow>,
        val version: Long,
        val hasMore: Boolean = false,
        val storeMs: Long = 0,
    ) : ScanResult

    public data class Unavailable(
        val reason: String,
    ) : ScanResult
}

/** Result of waiting for changes. */
public sealed interface FeedResult {
    /** Changes in order; continue from [version]. */
    public data class Changes(
        val rows: List<StoredRow>,
        val version: Long,
    ) : FeedResult

    /** The store no longer has the history that was asked for: read the table anew. */
    public data object HistoryLost : FeedResult

    public data class Unavailable(
        val reason: String,
    ) : FeedResult
}

/** Result of a transaction. */
public sealed interface CommitResult {
    public data class Committed(
        val version: Long,
        val storeMs: Long = 0,
    ) : CommitResult

    /** Nothing changed, since a condition does not hold; [rows] are the present rows of the conditions. */
    public data class Conflicted(
        val rows: List<StoredRow>,
    ) : CommitResult

    /** Nothing changed, and this call never changes anything. */
    public data class Unavailable(
        val reason: String,
    ) : CommitResult

    /** No answer: the transaction may have taken effect, or may do so later if its conditions still hold. */
    public data class Unknown(
        val reason: String,
    ) : CommitResult
}

/** The store of everything that lasts. Answers are linearizable. */
public interface RowStore {
    /** Rows of a part with `from <= key < until`, at most [limit]. */
    public suspend fun scan(
        table: String,
        part: String,
        from: String? = null,
        until: String? = null,
        limit: Int = MAX_ROWS,
    ): ScanResult

    /** Waits at most [waitMs] ms for changes of [table] after the version [after]. */
    public suspend fun feed(
        table: String,
        after: Long,
        waitMs: Int,
    ): FeedResult

    public suspend fun commit(transaction: RowTransaction): CommitResult

    public companion object {
        /** Most rows in one answer, a limit of the store. */
        public const val MAX_ROWS: Int = 500
    }
}

/** Reads one row: [ScanResult.Rows] with at most one entry. */
public suspend fun RowStore.read(key: RowKey): ScanResult = scan(key.table, key.part, key.key, key.key + "\u0000", 1)

// A row of a job has about 3 KB: a page passes the narrowest link of the deployments, 7 Mbit/s, in 0.25 s.
private const val PAGE_ROWS = 64

// Pages are read again on their own, so that one lost answer does not cost the pages before it.
private const val PAGE_TRIES = 4

/** Reads all rows of a part, page by page; the version is that of the first page, so that a feed misses nothing. */
public suspend fun RowStore.scanAll(
    table: String,
    part: String,
): ScanResult {
    val rows = ArrayList<StoredRow>()
    var version = -1L
    var from: String? = null
    var failures = 0
    while (true) {
        when (val page = scan(table, part, from, limit = PAGE_ROWS)) {
            is ScanResult.Unavailable -> if (++failures == PAGE_TRIES) return page
            is ScanResult.Rows -> {
                failures = 0
                rows += page.rows
                if (version < 0) version = page.version
                if (!page.hasMore || page.rows.isEmpty()) return ScanResult.Rows(rows, version)
                from = page.rows
                    .last()
                    .key.key + "\u0000"
            }
        }
    }
}
