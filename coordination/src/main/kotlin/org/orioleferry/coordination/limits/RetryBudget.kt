package org.orioleferry.coordination.limits

import org.orioleferry.core.Clock
import kotlin.math.min

/**
 * Limits retries to a share of the successes plus a fixed rate, so that retries cannot multiply an overload.
 *
 * @param successShare retries earned by one success.
 * @param perSecond retries earned each second.
 * @param burst greatest number of retries that can be saved up.
 */
public class RetryBudget(
    private val clock: Clock,
    private val successShare: Double = DEFAULT_SUCCESS_SHARE,
    private val perSecond: Double = DEFAULT_PER_SECOND,
    private val burst: Double = DEFAULT_BURST,
) {
    private var tokens = min(1.0, burst)
    private var lastRefillMs = clock.monotonicMs()

    /** Counts one success. */
    @Synchronized
    public fun onSuccess() {
        tokens = min(burst, tokens + successShare)
    }

    /** Takes one retry out of the budget, or returns false when none is left. */
    @Synchronized
    public fun tryAcquire(): Boolean {
        val now = clock.monotonicMs()
        tokens = min(burst, tokens + (now - lastRefillMs) * perSecond / MS_PER_SECOND)
        lastRefillMs = now
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    public companion object {
        /** Retries add at most this share of load in the long run. */
        public const val DEFAULT_SUCCESS_SHARE: Double = 0.1

        /** Allows some retries to an upstream that has no successes. */
        public const val DEFAULT_PER_SECOND: Double = 1.0

        /** Bounds the saved retries, so that an hour without failures does not allow a burst of retries. */
        public const val DEFAULT_BURST: Double = 10.0

        private const val MS_PER_SECOND = 1_000.0
    }
}
