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

    /** Local monotonic time at which the known incarnation last gave an answer, or null before the first. */
    private var confirmedAtMs: Long? = null

    /** Local monotonic time at which the last order with a deadline was sent. */
    private var deadlineSentAtMs: Long? = null

    /** Like [deadlineSentAtMs], for orders without a recent answer before them, which a later incarnation may have received. */
    private var unconfirmedSentAtMs: Long? = null

    /** Local monotonic time by which every lease has ended that orders for an earlier incarnation gave in this one. */
    private var earlierOrdersExpiredAtMs = 0L

    /** Like [earlierOrdersExpiredAtMs], for the orders without a recent answer before them only. */
    private var unconfirmedOrdersExpiredAtMs = 0L

    /** Local monotonic time by which every lease has ended that earlier owners gave the runs taken over from them. */
    private var inheritedLeasesEndedAtMs = 0L

    /** Returns the estimated time on the worker's clock, in ms. */
    fun nowMs(): Long = readingMs + (clock.monotonicMs() - readAtMs)

    /** Returns the earliest time that the worker's clock can show at the local monotonic time [localMs]. */
    private fun earliestAt(localMs: Long): Long = readingMs + ((localMs - readAtMs) * settings.minClockRate).toLong()

    /** Whether the last reading is recent enough for the deadlines of leases, which are shorter the older it is. */
    val isCurrent: Boolean get() = clock.monotonicMs() - readAtMs < MAX_READING_AGE_MS

    /** Whether the known incarnation answered a moment ago, so that the next order cannot reach a later one. */
    val isConfirmed: Boolean get() = confirmedAtMs?.let { clock.monotonicMs() - it < RECENT_ANSWER_MS } == true

    /**
     * Whether leases may last longer than an owner grants, because an order for an earlier incarnation may have been carried
     * out in this one. The next owner does not wait for them.
     */
    val mayHaveLongLeases: Boolean
        get() = unconfirmedOrdersExpiredAtMs - clock.monotonicMs() > settings.longestRunLeaseMs + EXPIRY_MARGIN_MS

    /** The known incarnation has answered now. */
    fun confirm() {
        confirmedAtMs = clock.monotonicMs()
    }

    /**
     * Whether the known incarnation can have answered an order that was sent at the local monotonic time [sentAtMs], when
     * the clock of the answering one showed [workerClockMs]. The clock of a later incarnation starts anew.
     */
    fun isConsistentWith(
        workerClockMs: Long,
        sentAtMs: Long,
    ): Boolean = workerClockMs >= earliestAt(sentAtMs) - CLOCK_TOLERANCE_MS

    /** The known incarnation has carried out an order that was sent at the local monotonic time [sentAtMs]. */
    fun confirmOrder(sentAtMs: Long) {
        confirm()
        if (unconfirmedSentAtMs?.let { it <= sentAtMs } == true) unconfirmedSentAtMs = null
    }

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
        confirm()
        return elapsedMs
    }

    /**
     * Returns the deadline on the worker's clock for an order sent now, in ms. Orders that stay without an answer extend
     * the leases up to a fixed time after the last answer, so that the tasks of a lost worker start again in time. The
     * lease ends by [latestEndMs], a local monotonic time.
     */
    fun nextDeadlineMs(latestEndMs: Long): Long {
        val countsFromMs = minOf(clock.monotonicMs(), provenAtMs + MAX_UNANSWERED_EXTENSION_MS)
        val deadline = minOf(earliestAt(countsFromMs) + settings.runLeaseMs, earliestAt(latestEndMs))
        highestDeadlineMs = maxOf(highestDeadlineMs, deadline)
        deadlineSentAtMs = clock.monotonicMs()
        if (!isConfirmed) unconfirmedSentAtMs = deadlineSentAtMs
        return deadline
    }

    /** Returns the local monotonic time in ms by which every lease on the worker has certainly ended. */
    fun leasesExpiredAtMs(): Long {
        val leftMs = (highestDeadlineMs - readingMs).coerceAtLeast(0)
        val grantedEndMs = readAtMs + (leftMs / settings.minClockRate).toLong() + EXPIRY_MARGIN_MS
        return maxOf(grantedEndMs, earlierOrdersExpiredAtMs, inheritedLeasesEndedAtMs)
    }

    /** The worker has runs whose leases earlier owners granted; they have ended by [endedAtMs], a local monotonic time. */
    fun inheritLeases(endedAtMs: Long) {
        inheritedLeasesEndedAtMs = maxOf(inheritedLeasesEndedAtMs, endedAtMs)
    }

    /** Forgets the deadlines, since the worker's incarnation is over and no order for it is carried out any more. */
    fun forgetDeadlines() {
        highestDeadlineMs = 0
        deadlineSentAtMs = null
        unconfirmedSentAtMs = null
        earlierOrdersExpiredAtMs = 0
        unconfirmedOrdersExpiredAtMs = 0
        inheritedLeasesEndedAtMs = 0
    }

    /**
     * The worker has begun a new incarnation, whose clock starts anew. An order that was sent before may be carried out in
     * it, and its deadline may be far ahead on the new clock, so the worker may grant its longest lease.
     */
    fun beginNewIncarnation() {
        highestDeadlineMs = 0
        confirmedAtMs = null
        deadlineSentAtMs?.let { earlierOrdersExpiredAtMs = longestLeaseEndMs(it) }
        unconfirmedSentAtMs?.let { unconfirmedOrdersExpiredAtMs = longestLeaseEndMs(it) }
    }

    private fun longestLeaseEndMs(sentAtMs: Long) = sentAtMs + settings.longestEarlierOrderMs + EXPIRY_MARGIN_MS

    private companion object {
        // A clock that is 2% slow falls behind by 0.6 s in this time.
        const val MAX_READING_AGE_MS = 30_000L

        // Covers the wait for the store between an answer and the next renewal.
        const val MAX_UNANSWERED_EXTENSION_MS = 1_000L

        // Shorter than the restart of a worker, and than the time between two cuts of a connection.
        const val RECENT_ANSWER_MS = 300L

        // Below the margin of the leases, and above the error of a reading.
        const val CLOCK_TOLERANCE_MS = 200L

        // Longest time in flight of an order after its deadline was computed.
        const val EXPIRY_MARGIN_MS = 300L
    }
}
