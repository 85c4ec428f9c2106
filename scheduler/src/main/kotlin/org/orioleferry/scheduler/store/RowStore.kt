package org.orioleferry.scheduler.store

/**
 * Address of a row. [part] names a partition of the store, which may hold rows of several tables. One transaction can
 * change any number of rows of one part, but not of several.
 */
public data class RowKey(
    val table: String,
    val part: String,
    val key: String,
)

/**
 * A row as read from the store. [version] is the version of the store at which the row last changed; [isDeleted] marks
 * a deletion in a change feed.
 */
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

/** Conditional write of several rows, which is applied as a whole or not at all. All rows belong to one part. */
public data class RowTransaction(
    val conditions: List<RowCondition> = emptyList(),
    val writes: List<RowWrite> = emptyList(),
    val removals: List<RowKey> = emptyList(),
)

/** Result of a read. */
public sealed interface ScanResult {
    /**
     * A consistent snapshot of the [rows] in key order. [version] is the newest version of the store, [hasMore]
     * tells whether the limit cut off further rows, and [storeMs] is the time on the monotonic clock of the store.
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
    /** Changes in order. The next call continues after [version]. */
    public data class Changes(
        val rows: List<StoredRow>,
        val version: Long,
    ) : FeedResult

    /** The store no longer has the requested history, so the caller has to read the whole table again. */
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

    /** Nothing changed, since a condition does not hold; [rows] are the current rows of the conditions. */
    public data class Conflicted(
        val rows: List<StoredRow>,
    ) : CommitResult

    /** Nothing changed, and this call will not change anything later either. */
    public data class Unavailable(
        val reason: String,
    ) : CommitResult

    /** Nothing changed, and the same transaction will be rejected again, for instance because a value is too large. */
    public data class Rejected(
        val reason: String,
    ) : CommitResult

    /** No answer arrived. The transaction may have taken effect, or may do so later if its conditions still hold. */
    public data class Unknown(
        val reason: String,
    ) : CommitResult
}

/** The store of all durable state. Reads and transactions are linearizable. */
public interface RowStore {
    /** Reads the rows of a part with `from <= key < until`, at most [limit]. */
    public suspend fun scan(
        table: String,
        part: String,
        from: String? = null,
        until: String? = null,
        limit: Int = MAX_ROWS,
    ): ScanResult

    /** Waits at most [waitMs] ms for changes of [table] after the store version [after]. */
    public suspend fun feed(
        table: String,
        after: Long,
        waitMs: Int,
    ): FeedResult

    public suspend fun commit(transaction: RowTransaction): CommitResult

    public companion object {
        /** Maximum number of rows in one answer, a limit of the store. */
        public const val MAX_ROWS: Int = 500
    }
}

/** Reads one row: [ScanResult.Rows] with at most one entry. */
public suspend fun RowStore.read(key: RowKey): ScanResult = scan(key.table, key.part, key.key, key.key + "\u0000", 1)

// A job row has about 3 KB, so a page takes 0.25 s over the slowest link of the deployments, 7 Mbit/s.
private const val PAGE_ROWS = 64

// Limit of consecutive failures. A failed page is retried by itself, so that one lost answer does not discard the pages
// read before it.
private const val MAX_PAGE_ATTEMPTS = 4

/**
 * Reads all rows of a part, page by page. Returns the version of the first page, so that a feed misses no change. Gives up
 * after [maxPageAttempts] failures in a row.
 */
public suspend fun RowStore.scanAll(
    table: String,
    part: String,
    maxPageAttempts: Int = MAX_PAGE_ATTEMPTS,
): ScanResult {
    val rows = ArrayList<StoredRow>()
    var version = -1L
    var from: String? = null
    var failures = 0
    while (true) {
        when (val page = scan(table, part, from, limit = PAGE_ROWS)) {
            is ScanResult.Unavailable -> if (++failures == maxPageAttempts) return page
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
