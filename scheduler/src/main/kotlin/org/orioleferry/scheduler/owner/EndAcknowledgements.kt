package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.workers.RunEndRecord

/** Tracks which run ends of a worker's incarnation were processed, stored and acknowledged; their numbers only rise. */
internal class EndAcknowledgements {
    private var processedNumber = 0L

    /** Number of the last end that the worker knows to be acknowledged. */
    private var acknowledgedNumber = 0L

    /** Unacknowledged ends: their number at the worker, and the sequence number of the change to be stored first. */
    private val pending = ArrayDeque<Pair<Long, Long>>()

    /** Sequence number of the change that the last unacknowledged end waits for, or null if there is none. */
    val lastSequence: Long? get() = pending.lastOrNull()?.second

    /** Returns the number of the last end up to which all changes are stored, given the [storedSequence]. */
    fun lastStored(storedSequence: Long): Long =
        pending.takeWhile { it.second <= storedSequence }.lastOrNull()?.first ?: acknowledgedNumber

    /** Whether an end waits for a change after those of the end with number [storedEnd]. */
    fun hasPendingAfter(storedEnd: Long): Boolean = pending.any { it.first > storedEnd }

    /** Whether the worker does not know yet that the end with number [storedEnd] is stored. */
    fun isUnacknowledged(storedEnd: Long): Boolean = storedEnd > acknowledgedNumber

    /** The worker has been told that the ends up to [number] are stored. */
    fun acknowledge(number: Long) {
        acknowledgedNumber = maxOf(acknowledgedNumber, number)
        while (pending.isNotEmpty() && pending.first().first <= acknowledgedNumber) pending.removeFirst()
    }

    /** Passes those of [ends] that are new to [process], which returns the sequence number of the resulting change. */
    fun addNew(
        ends: List<RunEndRecord>,
        process: (RunEndRecord) -> Long,
    ) {
        ends.filter { it.number > processedNumber }.forEach { end ->
            processedNumber = end.number
            pending += end.number to process(end)
        }
    }

    /** Forgets all ends; the next incarnation of the worker counts from 1. */
    fun reset() {
        processedNumber = 0
        acknowledgedNumber = 0
        pending.clear()
    }
}
