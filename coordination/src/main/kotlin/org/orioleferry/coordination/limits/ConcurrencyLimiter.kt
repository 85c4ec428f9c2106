package org.orioleferry.coordination.limits

import org.orioleferry.core.Clock
import kotlin.math.max
import kotlin.math.min

/** What the use of one unit of concurrency showed about the upstream. */
public enum class LimitSignal {
    /** The upstream answered. */
    SUCCESS,

    /** The upstream refused for lack of room, failed or did not answer in time. */
    OVERLOAD,

    /** Nothing can be concluded. */
    NONE,
}

/**
 * Concurrency limit of one upstream: additive increase by one for each full round of successes, multiplicative
 * decrease on overload, never below 1 and never above [ceiling].
 */
public class ConcurrencyLimiter(
    private val clock: Clock,
    private val ceiling: Int,
) {
    private var limitValue = ceiling.toDouble()
    private var lastDecreaseMs = clock.monotonicMs() - DECREASE_GAP_MS

    /** Units in use. */
    @get:Synchronized
    public var inFlight: Int = 0
        private set

    /** Units that may be in use at once. */
    public val limit: Int
        @Synchronized get() = max(1, limitValue.toInt())

    /** Whether a unit is free. */
    public val hasRoom: Boolean
        @Synchronized get() = inFlight < limit

    /** Takes one unit, or returns false when none is free. */
    @Synchronized
    public fun tryAcquire(): Boolean {
        if (inFlight >= limit) return false
        inFlight++
        return true
    }

    /** Gives a unit back with what it showed. */
    @Synchronized
    public fun release(signal: LimitSignal) {
        val wasInUse = inFlight
        inFlight = max(0, inFlight - 1)
        when (signal) {
            LimitSignal.SUCCESS ->
                if (wasInUse * 2 >=
                    limit
                ) {
                    limitValue = min(ceiling.toDouble(), limitValue + 1.0 / limitValue)
                }
            LimitSignal.OVERLOAD -> decrease()
            LimitSignal.NONE -> Unit
        }
    }

    /** Refusals that arrive together have one cause and count once. */
    private fun decrease() {
        val now = clock.monotonicMs()
        if (now - lastDecreaseMs < DECREASE_GAP_MS) return
        lastDecreaseMs = now
        limitValue = max(1.0, limitValue * DECREASE_FACTOR)
    }

    private companion object {
        const val DECREASE_FACTOR = 0.7
        const val DECREASE_GAP_MS = 100L
    }
}
