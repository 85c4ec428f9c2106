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

    /** Latest deadline given to the worker, on the worker's clock. */
    private var highestDeadlineMs = 0L

    /** Returns the estimated time on the worker's clock, in ms. */
    fun nowMs(): Long = readingMs + (clock.monotonicMs() - readAtMs)

    /** Takes over the reading of an answer and returns the time on the worker's clock since the last one, in ms. */
    fun update(workerClockMs: Long): Long {
        val elapsedMs = workerClockMs - readingMs
        readingMs = workerClockMs
        readAtMs = clock.monotonicMs()
        return elapsedMs
    }

    /** Returns the deadline on the worker's clock for an order sent now, in ms. */
    fun nextDeadlineMs(): Long {
        val deadline = nowMs() + settings.runLeaseMs
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
        // Longest time in flight of an order after its deadline was computed.
        const val EXPIRY_MARGIN_MS = 300L
    }
}
