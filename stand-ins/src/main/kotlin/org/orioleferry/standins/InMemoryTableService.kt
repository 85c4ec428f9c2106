package org.orioleferry.standins

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.Row
import org.orioleferry.platform.RowConflict
import org.orioleferry.platform.TableOperation
import org.orioleferry.platform.TableService
import java.util.TreeMap

/** Fault that the store applies to one call. */
public enum class StoreFault {
    /** The call works. */
    NONE,

    /** The call is refused and has no effect. */
    DOWN,

    /** The call takes effect and its answer is lost. A read is answered as unavailable. */
    LOSE_ANSWER,
}

/**
 * The transactional table service in memory.
 *
 * @property beforeCall returns the fault of each call. It gets the operations of a commit, and none for a read or a
 * scan, and may suspend to make the store slow.
 */
public class InMemoryTableService(
    private val beforeCall: suspend (List<TableOperation>) -> StoreFault = { StoreFault.NONE },
) : TableService {
    private val lock = Mutex()
    private val tables = mutableMapOf<String, TreeMap<String, Row>>()
    private var lastVersion = 0L

    /** Number of reads and scans that were answered. */
    public var reads: Long = 0
        private set

    /** Number of rows that were written. */
    public var writes: Long = 0
        private set

    override suspend fun read(
        table: String,
        key: String,
    ): ReadResult<Row?> = reading { tables[table]?.get(key) }

    override suspend fun scan(
        table: String,
        prefix: String,
        after: String?,
        limit: Int,
    ): ReadResult<List<Row>> =
        reading {
            val rows = tables[table] ?: return@reading emptyList()
            val tail = if (after != null && after >= prefix) rows.tailMap(after, false) else rows.tailMap(prefix, true)
            tail.values
                .asSequence()
                .takeWhile { it.key.startsWith(prefix) }
                .take(limit)
                .toList()
        }

    override suspend fun commit(operations: List<TableOperation>): CommitResult {
        val fault = beforeCall(operations)
        if (fault == StoreFault.DOWN) return CommitResult.Unavailable("the store is down")
        val result = lock.withLock { apply(operations) }
        return if (fault == StoreFault.LOSE_ANSWER) CommitResult.Unknown("the answer was lost") else result
    }

    private suspend fun <T> reading(block: () -> T): ReadResult<T> {
        if (beforeCall(emptyList()) != StoreFault.NONE) return ReadResult.Unavailable("the store does not answer")
        return lock.withLock {
            reads++
            ReadResult.Found(block())
        }
    }

    private fun apply(operations: List<TableOperation>): CommitResult {
        val conflicts = operations.mapIndexedNotNull(::conflictOf)
        if (conflicts.isNotEmpty()) return CommitResult.Conflicted(conflicts)
        return CommitResult.Committed(operations.map(::write))
    }

    private fun conflictOf(
        index: Int,
        operation: TableOperation,
    ): RowConflict? {
        val expected = operation.expected ?: return null
        val row = tables[operation.table]?.get(operation.key)
        val version = row?.version ?: 0
        return if (version == expected) null else RowConflict(index, version, row?.value)
    }

    private fun write(operation: TableOperation): Long {
        val rows = tables.getOrPut(operation.table) { TreeMap() }
        if (operation.check) return rows[operation.key]?.version ?: 0
        writes++
        val value = operation.value
        val version = ++lastVersion
        if (value == null) rows.remove(operation.key) else rows[operation.key] = Row(operation.key, value, version)
        return version
    }
}
