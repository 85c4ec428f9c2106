package org.orioleferry.coordination.limits

import org.orioleferry.core.Clock
import kotlin.math.max
import kotlin.math.min

/** What a finished call showed about the load of the upstream. */
public enum class LimitSignal {
    /** The upstream answered. */
    SUCCESS,

    /** The upstream refused for lack of capacity, failed or did not answer before the deadline. */
    OVERLOAD,

    /** The call showed nothing about the load. */
    NONE,
}

/**
 * Concurrency limit of one upstream: additive increase by one for each full round of successes, multiplicative
 * decrease on overload, never below 1 and never above [maxLimit].
 */
public class ConcurrencyLimiter(
    private val clock: Clock,
    private val maxLimit: Int,
) {
    private var limitValue = maxLimit.toDouble()
    private var lastDecreaseMs = clock.monotonicMs() - MIN_DECREASE_INTERVAL_MS

    /** Number of calls in progress. */
    @get:Synchronized
    public var inFlight: Int = 0
        private set

    /** Number of calls that may be in progress at the same time. */
    public val limit: Int
        @Synchronized get() = max(1, limitValue.toInt())

    /** Whether another call may start. */
    public val hasFreeSlot: Boolean
        @Synchronized get() = inFlight < limit

    /** Reserves a slot for one call, or returns false when [limit] is reached. */
    @Synchronized
    public fun tryAcquire(): Boolean {
        if (inFlight >= limit) return false
        inFlight++
        return true
    }

    /** Releases the slot of a finished call and adjusts the limit to what the call showed. */
    @Synchronized
    public fun release(signal: LimitSignal) {
        val previousInFlight = inFlight
        inFlight = max(0, inFlight - 1)
        when (signal) {
            LimitSignal.SUCCESS ->
                if (previousInFlight * 2 >=
                    limit
                ) {
                    limitValue = min(maxLimit.toDouble(), limitValue + 1.0 / limitValue)
                }
            LimitSignal.OVERLOAD -> decrease()
            LimitSignal.NONE -> Unit
        }
    }

    /** Lowers the limit once for overloads that arrive together, since they have one cause. */
    private fun decrease() {
        val now = clock.monotonicMs()
        if (now - lastDecreaseMs < MIN_DECREASE_INTERVAL_MS) return
        lastDecreaseMs = now
        limitValue = max(1.0, limitValue * DECREASE_FACTOR)
    }

    private companion object {
        const val DECREASE_FACTOR = 0.7
        const val MIN_DECREASE_INTERVAL_MS = 100L
    }
}
