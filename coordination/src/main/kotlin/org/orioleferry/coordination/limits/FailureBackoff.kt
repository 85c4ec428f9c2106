package org.orioleferry.coordination.limits

import org.orioleferry.core.Clock
import kotlin.math.min
import kotlin.random.Random

/**
 * Keeps a failing upstream from being tried too often: after each failure it rests for a time that doubles from
 * 100 ms to 10 s, with jitter, and then one trial at a time may pass until one succeeds.
 */
public class FailureBackoff(
    private val clock: Clock,
    private val random: Random,
) {
    private var failures = 0
    private var restUntilMs = 0L
    private var isTrialRunning = false
    private var lastSuccessMs = Long.MIN_VALUE

    /** Whether work may be sent to the upstream now. */
    @Synchronized
    public fun mayTry(): Boolean = failures == 0 || (!isTrialRunning && clock.monotonicMs() >= restUntilMs)

    /** Notes that work is being sent. */
    @Synchronized
    public fun onTry() {
        if (failures > 0) isTrialRunning = true
    }

    /** Notes an answer of any kind. */
    @Synchronized
    public fun onSuccess() {
        failures = 0
        isTrialRunning = false
        lastSuccessMs = clock.monotonicMs()
    }

    /** Notes that a trial ended without showing anything. */
    @Synchronized
    public fun onNothing() {
        isTrialRunning = false
    }

    /**
     * Notes that a call that began at [startedMs] failed, and returns whether the upstream is to blame.
     *
     * An upstream that answered another call in the meantime is not: a caller whose deadlines are too short for its
     * work must not make a healthy worker rest. Failures during a rest belong to the same incident and do not
     * lengthen it.
     */
    @Synchronized
    public fun onFailure(startedMs: Long): Boolean {
        val now = clock.monotonicMs()
        isTrialRunning = false
        if (lastSuccessMs >= startedMs) return false
        if (failures > 0 && now < restUntilMs) return true
        val restMs = min(MAX_REST_MS, FIRST_REST_MS shl min(failures, MAX_DOUBLINGS))
        restUntilMs = now + restMs / 2 + random.nextLong(restMs / 2 + 1)
        failures++
        return true
    }

    private companion object {
        const val FIRST_REST_MS = 100L
        const val MAX_REST_MS = 10_000L
        const val MAX_DOUBLINGS = 7
    }
}
