package org.orioleferry.scheduler.owner

import org.orioleferry.core.Clock
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent

/**
 * Logs the owner's placement passes and the delay of its thread, at most once per [PERIOD_MS] and only after passes.
 *
 * The thread also serves callers, feeds and renewals, so its delay is the least that each of them waits.
 */
internal class PassLog(
    private val clock: Clock,
    private val log: DecisionLog,
    private val instance: String,
) {
    private var loggedAtMs = clock.monotonicMs()
    private var passes = 0
    private var totalPassMs = 0L
    private var longestPassMs = 0L
    private var longestDelayMs = 0L

    /** Records a pass of [passMs] that began [delayMs] later than its timer was due, both in ms. */
    fun record(
        passMs: Long,
        delayMs: Long,
    ) {
        passes++
        totalPassMs += passMs
        longestPassMs = maxOf(longestPassMs, passMs)
        longestDelayMs = maxOf(longestDelayMs, delayMs)
        val periodMs = clock.monotonicMs() - loggedAtMs
        if (periodMs < PERIOD_MS) return
        log.record(
            SchedulerEvent.OWNER_USAGE,
            instance,
            "periodMs" to periodMs,
            "passes" to passes,
            "passMs" to totalPassMs,
            "longestPassMs" to longestPassMs,
            "longestDelayMs" to longestDelayMs,
        )
        loggedAtMs = clock.monotonicMs()
        passes = 0
        totalPassMs = 0
        longestPassMs = 0
        longestDelayMs = 0
    }

    private companion object {
        const val PERIOD_MS = 1_000L
    }
}
