package org.orioleferry.scheduler.store

/**
 * Derives the timeout of a call from the latencies of earlier answers.
 *
 * A lost answer doubles the timeout up to [longestMs], so that calls still succeed when the store has become slow.
 * Answers move the timeout back towards a multiple of their latency, so that a lost answer is detected early.
 */
public class AdaptiveTimeout(
    private val shortestMs: Long = 200,
    private val longestMs: Long = 1_000,
) {
    private var currentMs = longestMs.toDouble()

    /** Timeout of the next call, in ms. */
    public val timeoutMs: Long get() = currentMs.toLong()

    public fun onAnswer(latencyMs: Long) {
        val targetMs = (latencyMs * LATENCY_FACTOR).coerceIn(shortestMs.toDouble(), longestMs.toDouble())
        currentMs += (targetMs - currentMs) * SMOOTHING_FACTOR
    }

    public fun onLost() {
        currentMs = minOf(longestMs.toDouble(), currentMs * 2)
    }

    private companion object {
        // Latencies of the store vary by about this factor within a day without faults.
        const val LATENCY_FACTOR = 8.0

        // Weight of the newest answer; the timeout follows about the last ten answers.
        const val SMOOTHING_FACTOR = 0.2
    }
}
