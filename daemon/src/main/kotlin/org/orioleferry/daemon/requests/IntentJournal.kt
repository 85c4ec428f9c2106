package org.orioleferry.daemon.requests

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.core.Clock
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.RowConflict
import org.orioleferry.platform.TableOperation
import org.orioleferry.platform.TableService
import java.util.concurrent.atomic.AtomicLong

/** Result of writing one row of the journal. */
internal sealed interface WriteResult {
    /** The row has the new value. */
    data class Written(
        val version: Long,
    ) : WriteResult

    /** Nothing was written: the row has another version. [row] is null when it is absent or unreadable. */
    data class Conflict(
        val row: StoredRecord?,
    ) : WriteResult

    /** Nothing was written and nothing will be. */
    data object Unavailable : WriteResult

    /** The row may have the new value, or may still get it. */
    data object Unknown : WriteResult
}

/**
 * Writes request rows by compare-and-set. Writes that wait at the same time share one transaction.
 *
 * A conflict of one row aborts a transaction whole; the rows without a conflict are then committed again without it.
 * When the answer of a transaction is lost, the same compare-and-set is sent again. A conflict whose value is the one
 * that was written shows that the first transaction took effect; a success fences it, so that it cannot take effect
 * later. Reading the row back would not exclude that.
 */
internal class IntentJournal(
    private val table: TableService,
    private val clock: Clock,
    private val settings: RequestSettings,
    private val maxBatch: Int = MAX_BATCH,
    private val inFlight: Int = IN_FLIGHT,
) {
    private class PendingWrite(
        val key: String,
        val value: String,
        val expected: Long,
        val isPersistent: Boolean,
    ) {
        val done = CompletableDeferred<WriteResult>()
        var lostAnswers = 0
        var notBeforeMs = 0L
    }

    private val pending = ArrayDeque<PendingWrite>()
    private val keysInFlight = mutableSetOf<String>()
    private val wake = Channel<Unit>(Channel.CONFLATED)

    private val sentTransactions = AtomicLong()

    /** Transactions sent so far. */
    val transactions: Long get() = sentTransactions.get()

    /** Writes that wait or are in progress. */
    val backlog: Int get() = synchronized(this) { pending.size + keysInFlight.size }

    /** Commits waiting writes until it is cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            repeat(inFlight) { launch { commitWaiting() } }
            launch {
                while (true) {
                    delay(RETRY_MS)
                    wake.trySend(Unit)
                }
            }
        }

    /** Writes [record] if its row still has version [expected], waiting at most [timeoutMs]. */
    suspend fun write(
        record: RequestRecord,
        key: String,
        expected: Long,
        timeoutMs: Long,
    ): WriteResult = submit(PendingWrite(key, record.toJson(), expected, isPersistent = false), timeoutMs)

    /**
     * Writes the final [record] like [write]. A write that does not succeed in time is repeated in the background
     * until it succeeds or conflicts.
     */
    suspend fun finish(
        record: RequestRecord,
        key: String,
        expected: Long,
    ): WriteResult = submit(PendingWrite(key, record.toJson(), expected, isPersistent = true), settings.finishWriteMs)

    /** Reads the record of [key]; the value is null when there is none. */
    suspend fun read(key: String): ReadResult<StoredRecord?> {
        val result =
            withTimeoutOrNull(settings.storeDeadlineMs) { table.read(RequestRecord.TABLE, key) }
                ?: ReadResult.Unavailable("no answer from the store")
        return when (result) {
            is ReadResult.Unavailable -> result
            is ReadResult.Found -> ReadResult.Found(result.value?.let { storedOf(it.value, it.version) })
        }
    }

    private suspend fun submit(
        write: PendingWrite,
        timeoutMs: Long,
    ): WriteResult {
        synchronized(this) {
            if (pending.size >= MAX_PENDING) return WriteResult.Unavailable
            pending.addLast(write)
        }
        wake.trySend(Unit)
        val result = withTimeoutOrNull(timeoutMs) { write.done.await() }
        if (result != null) return result
        val isUntouched = synchronized(this) { !write.isPersistent && write.lostAnswers == 0 && pending.remove(write) }
        return if (isUntouched) WriteResult.Unavailable else WriteResult.Unknown
    }

    private suspend fun commitWaiting() {
        while (true) {
            val batch = takeBatch()
            if (batch.isEmpty()) {
                wake.receive()
                continue
            }
            val result =
                try {
                    sentTransactions.incrementAndGet()
                    withTimeoutOrNull(settings.storeDeadlineMs) { table.commit(batch.map(::operationOf)) }
                        ?: CommitResult.Unknown("no answer from the store")
                } finally {
                    synchronized(this) { batch.forEach { keysInFlight.remove(it.key) } }
                }
            settle(batch, result)
        }
    }

    /** Takes writes of different rows: two writes of one row in one transaction would both pass the comparison. */
    private fun takeBatch(): List<PendingWrite> =
        synchronized(this) {
            val now = clock.monotonicMs()
            val batch = mutableListOf<PendingWrite>()
            val waiting = pending.iterator()
            while (batch.size < maxBatch && waiting.hasNext()) {
                val write = waiting.next()
                if (write.notBeforeMs > now || !keysInFlight.add(write.key)) continue
                waiting.remove()
                batch += write
            }
            batch
        }

    private fun operationOf(write: PendingWrite) =
        TableOperation(RequestRecord.TABLE, write.key, write.expected, write.value)

    private fun settle(
        batch: List<PendingWrite>,
        result: CommitResult,
    ) {
        when (result) {
            is CommitResult.Committed ->
                batch.forEachIndexed {
                    index,
                    write,
                    ->
                    write.done.complete(WriteResult.Written(result.versions[index]))
                }

            is CommitResult.Conflicted -> settleConflicts(batch, result.conflicts.associateBy { it.index })

            is CommitResult.Unavailable -> batch.forEach(::settleUnavailable)

            is CommitResult.Unknown -> batch.forEach(::settleLost)
        }
        wake.trySend(Unit)
    }

    private fun settleConflicts(
        batch: List<PendingWrite>,
        conflicts: Map<Int, RowConflict>,
    ) {
        val rest = batch.filterIndexed { index, _ -> index !in conflicts }
        synchronized(this) { pending.addAll(0, rest) }
        conflicts.forEach { (index, conflict) ->
            val write = batch[index]
            val isOwnValue = write.lostAnswers > 0 && conflict.value == write.value
            val stored = conflict.value?.let { storedOf(it, conflict.version) }
            write.done.complete(
                if (isOwnValue) WriteResult.Written(conflict.version) else WriteResult.Conflict(stored),
            )
        }
    }

    private fun settleUnavailable(write: PendingWrite) {
        when {
            write.isPersistent -> retryLater(write, RETRY_MS)
            write.lostAnswers > 0 -> write.done.complete(WriteResult.Unknown)
            else -> write.done.complete(WriteResult.Unavailable)
        }
    }

    private fun settleLost(write: PendingWrite) {
        write.lostAnswers++
        when {
            write.isPersistent -> retryLater(write, if (write.lostAnswers > 1) RETRY_MS else 0)
            write.lostAnswers < MAX_LOST_ANSWERS -> retryLater(write, 0)
            else -> write.done.complete(WriteResult.Unknown)
        }
    }

    private fun retryLater(
        write: PendingWrite,
        delayMs: Long,
    ) {
        write.notBeforeMs = clock.monotonicMs() + delayMs
        synchronized(this) { pending.addLast(write) }
    }

    private fun storedOf(
        value: String,
        version: Long,
    ): StoredRecord? = RequestRecord.parse(value)?.let { StoredRecord(it, version) }

    internal companion object {
        /** Maximum rows of one transaction; keeps its body below 2 MiB when every result has the maximum size. */
        const val MAX_BATCH: Int = 64

        /** Transactions sent concurrently, so that a second one can be sent while a slow store processes the first. */
        const val IN_FLIGHT: Int = 2

        /** Maximum waiting writes; bounds the memory used during a long outage of the store. */
        const val MAX_PENDING: Int = 4_096

        /** Failed writes are repeated at most once a second by each instance. */
        const val RETRY_MS: Long = 1_000

        /** A write whose answer was lost this many times ends as unknown and is left to the resolver. */
        const val MAX_LOST_ANSWERS: Int = 3
    }
}
