package org.orioleferry.scheduler.store

import org.orioleferry.core.Clock
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent

/** Whether the store answers this instance, judged by all calls of the process. */
public class StoreHealth(
    private val instance: String,
    private val clock: Clock,
    private val log: DecisionLog,
) {
    private var answeredAtMs = clock.monotonicMs()
    private var hasFailed = false
    private var isReported = false

    /**
     * True when calls fail and none was answered for a while. A single lost answer does not count, since the feeds of
     * every instance are answered at least once a second.
     */
    public val isAway: Boolean get() = hasFailed && clock.monotonicMs() - answeredAtMs > AWAY_AFTER_MS

    /** Notes the outcome of a call. */
    public fun note(
        isAnswered: Boolean,
        reason: String,
    ) {
        if (isAnswered) {
            answeredAtMs = clock.monotonicMs()
            hasFailed = false
            if (isReported) log.record(SchedulerEvent.STORE_REGAINED, instance, "reason" to reason)
            isReported = false
        } else {
            hasFailed = true
            if (!isReported && isAway) {
                isReported = true
                log.record(SchedulerEvent.STORE_LOST, instance, "reason" to reason, "lastAnswerMs" to answeredAtMs)
            }
        }
    }

    private companion object {
        // Above the round trip on a slow day, and well below the time that a caller waits.
        const val AWAY_AFTER_MS = 500L
    }
}
