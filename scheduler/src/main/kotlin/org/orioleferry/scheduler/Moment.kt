package org.orioleferry.scheduler

import org.orioleferry.core.Clock

/** A point in time on both clocks of a process. */
public data class Moment(
    val monotonicMs: Long,
    val wallMs: Long,
)

/** The present moment. */
public fun Clock.now(): Moment = Moment(monotonicMs(), wallMs())

/**
 * Age of [since] in ms, at least the true one: the steady clock stands still while a machine is suspended, so the larger
 * difference of both clocks counts. Used wherever acting too late is the danger.
 */
public fun Clock.ageOf(since: Moment): Long = maxOf(monotonicMs() - since.monotonicMs, wallMs() - since.wallMs)
