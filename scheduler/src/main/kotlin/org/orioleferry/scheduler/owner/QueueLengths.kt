package org.orioleferry.scheduler.owner

import kotlinx.coroutines.delay
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import org.orioleferry.scheduler.store.CommitResult
import org.orioleferry.scheduler.store.RowCondition
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.RowWrite
import org.orioleferry.scheduler.store.Rows

/** Publishes how many jobs of each queue have not begun, for the instances that answer callers. */
internal class QueueLengths(
    private val parts: OwnerParts,
    private val ownership: Ownership,
    private val book: JobBook,
) {
    private var published: String? = null

    suspend fun publish() {
        while (true) {
            val lengths =
                book.live
                    .filter { !it.hasBegun }
                    .groupingBy { it.accepted.spec.queue }
                    .eachCount()
            val value =
                Rows.json.encodeToString(
                    MapSerializer(String.serializer(), Int.serializer()),
                    lengths.toSortedMap(),
                )
            if (value != published && ownership.mayDecide) {
                val write =
                    RowTransaction(
                        listOf(RowCondition(Rows.fence, ownership.fenceVersion)),
                        listOf(RowWrite(Rows.queueLengths, value)),
                    )
                if (parts.store.commit(write) is CommitResult.Committed) published = value
            }
            delay(PERIOD_MS)
        }
    }

    private companion object {
        // Callers may see a value that is 2 s old.
        const val PERIOD_MS = 800L
    }
}
