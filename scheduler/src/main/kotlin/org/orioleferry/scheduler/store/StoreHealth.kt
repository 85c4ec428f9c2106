package org.orioleferry.scheduler.store

import org.orioleferry.core.Clock
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent

/** Tracks whether the store answers this instance, from the outcomes of all store calls of the process. */
public class StoreHealth(
    private val instance: String,
    private val clock: Clock,
    private val log: DecisionLog,
) {
    private var lastAnswerMs = clock.monotonicMs()
    private var hasFailed = false
    private var isOutageReported = false

    /**
     * Whether a call has failed since the last answer and that answer is more than [UNAVAILABLE_AFTER_MS] ms old. A
     * lost answer does not count while other calls are answered. On an idle instance these are only its feeds, whose
     * waits at the store end after 1.3 s to 2 s unless rows change.
     */
    public val isUnavailable: Boolean get() = hasFailed && clock.monotonicMs() - lastAnswerMs > UNAVAILABLE_AFTER_MS

    /** Records the outcome of a call. */
    public fun recordCall(
        isAnswered: Boolean,
        reason: String,
    ) {
        if (isAnswered) {
            lastAnswerMs = clock.monotonicMs()
            hasFailed = false
            if (isOutageReported) log.record(SchedulerEvent.STORE_REGAINED, instance, "reason" to reason)
            isOutageReported = false
        } else {
            hasFailed = true
            if (!isOutageReported && isUnavailable) {
                isOutageReported = true
                log.record(SchedulerEvent.STORE_LOST, instance, "reason" to reason, "lastAnswerMs" to lastAnswerMs)
            }
        }
    }

    private companion object {
        // Longer than a round trip under high latency, and much shorter than the time that a caller waits.
        const val UNAVAILABLE_AFTER_MS = 500L
    }
}
