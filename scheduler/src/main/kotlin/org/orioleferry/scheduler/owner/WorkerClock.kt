package org.orioleferry.scheduler.owner

import org.orioleferry.core.Clock
import org.orioleferry.scheduler.SchedulerSettings

/** Estimate of a worker's clock, and the lease deadlines that the worker was given on it. */
internal class WorkerClock(
    private val clock: Clock,
    private val settings: SchedulerSettings,
) {
    /** Reading of the worker's clock in its last answer. */
    private var readingMs = 0L

    /** Local monotonic time at which the last answer arrived. */
    var readAtMs = 0L
        private set

    /** Local monotonic time at which the worker was last known to be there, or before which it had no run to lose. */
    private var provenAtMs = 0L

    /** Latest deadline given to the worker, on the worker's clock. */
    private var highestDeadlineMs = 0L

    /** Returns the estimated time on the worker's clock, in ms. */
    fun nowMs(): Long = workerTimeAt(clock.monotonicMs())

    private fun workerTimeAt(localMs: Long): Long = readingMs + (localMs - readAtMs)

    /** The worker was there at [atMs], a local monotonic time, or had no run to lose until then. */
    fun prove(atMs: Long) {
        provenAtMs = maxOf(provenAtMs, atMs)
    }

    /** Takes over the reading of an answer and returns the time on the worker's clock since the last one, in ms. */
    fun update(workerClockMs: Long): Long {
        val elapsedMs = workerClockMs - readingMs
        readingMs = workerClockMs
        readAtMs = clock.monotonicMs()
        prove(readAtMs)
        return elapsedMs
    }

    /**
     * Returns the deadline on the worker's clock for an order sent now, in ms. Orders that stay without an answer extend
     * the leases up to a fixed time after the last answer, so that the tasks of a lost worker start again in time.
     */
    fun nextDeadlineMs(): Long {
        val countsFromMs = minOf(clock.monotonicMs(), provenAtMs + MAX_UNANSWERED_EXTENSION_MS)
        val deadline = workerTimeAt(countsFromMs) + settings.runLeaseMs
        highestDeadlineMs = maxOf(highestDeadlineMs, deadline)
        return deadline
    }

    /** Returns the local time by which the worker's clock has certainly passed every deadline it was given, in ms. */
    fun leasesExpiredAtMs(): Long =
        readAtMs + ((highestDeadlineMs - readingMs).coerceAtLeast(0) / settings.minClockRate).toLong() +
            EXPIRY_MARGIN_MS

    /** Forgets the deadlines, which end with the worker's incarnation. */
    fun forgetDeadlines() {
        highestDeadlineMs = 0
    }

    private companion object {
        // Covers the wait for the store between an answer and the next renewal.
        const val MAX_UNANSWERED_EXTENSION_MS = 1_000L

        // Longest time in flight of an order after its deadline was computed.
        const val EXPIRY_MARGIN_MS = 300L
    }
}
