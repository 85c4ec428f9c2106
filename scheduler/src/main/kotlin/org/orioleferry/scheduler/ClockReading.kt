package org.orioleferry.scheduler

import org.orioleferry.core.Clock

/** A reading of the monotonic clock and the wall clock of a process, in ms. */
public data class ClockReading(
    val monotonicMs: Long,
    val wallMs: Long,
)

/** Reads both clocks. */
public fun Clock.now(): ClockReading = ClockReading(monotonicMs(), wallMs())

/**
 * Returns an upper bound of the time since [since] in ms: the larger difference of the two clocks, because the
 * monotonic clock stops while a machine is suspended. Used where an underestimated age would be unsafe.
 */
public fun Clock.ageOf(since: ClockReading): Long = maxOf(monotonicMs() - since.monotonicMs, wallMs() - since.wallMs)
