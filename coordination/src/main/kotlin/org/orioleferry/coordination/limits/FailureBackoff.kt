package org.orioleferry.coordination.limits

import org.orioleferry.core.Clock
import kotlin.math.min
import kotlin.random.Random

/**
 * Exponential backoff for a failing upstream: after each failure it gets no calls for a time that doubles from 100 ms
 * to 10 s, with jitter, and then one trial call at a time until one succeeds.
 */
public class FailureBackoff(
    private val clock: Clock,
    private val random: Random,
) {
    private var failures = 0
    private var backoffUntilMs = 0L
    private var isTrialRunning = false
    private var lastSuccessMs = Long.MIN_VALUE

    /** Whether a call may be sent to the upstream now. */
    @Synchronized
    public fun canTry(): Boolean = failures == 0 || (!isTrialRunning && clock.monotonicMs() >= backoffUntilMs)

    /** Records that a call is being sent. */
    @Synchronized
    public fun onCallStarted() {
        if (failures > 0) isTrialRunning = true
    }

    /** Records an answer of any kind. */
    @Synchronized
    public fun onSuccess() {
        failures = 0
        isTrialRunning = false
        lastSuccessMs = clock.monotonicMs()
    }

    /** Records that a call ended without showing whether the upstream works, so that another trial may start. */
    @Synchronized
    public fun onInconclusive() {
        isTrialRunning = false
    }

    /**
     * Records that a call that began at [startedMs] failed, and returns whether this counts against the upstream.
     *
     * It does not count when the upstream answered another call in the meantime: a caller whose deadlines are too
     * short for its work must not stop the calls to a healthy worker. Failures during a backoff belong to the same
     * incident and do not lengthen it.
     */
    @Synchronized
    public fun onFailure(startedMs: Long): Boolean {
        val now = clock.monotonicMs()
        isTrialRunning = false
        if (lastSuccessMs >= startedMs) return false
        if (failures > 0 && now < backoffUntilMs) return true
        val backoffMs = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS shl min(failures, MAX_DOUBLINGS))
        backoffUntilMs = now + backoffMs / 2 + random.nextLong(backoffMs / 2 + 1)
        failures++
        return true
    }

    private companion object {
        const val INITIAL_BACKOFF_MS = 100L
        const val MAX_BACKOFF_MS = 10_000L
        const val MAX_DOUBLINGS = 7
    }
}
