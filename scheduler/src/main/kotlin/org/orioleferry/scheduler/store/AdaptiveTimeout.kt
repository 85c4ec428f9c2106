package org.orioleferry.scheduler.store

/**
 * Time to wait for an answer, from the latencies seen so far.
 *
 * A lost answer doubles the time up to [longestMs], so that a store that has become slow is waited for; answers bring it
 * back towards a multiple of their latency, so that a lost answer is noticed soon.
 */
public class AdaptiveTimeout(
    private val shortestMs: Long = 200,
    private val longestMs: Long = 1_000,
) {
    private var current = longestMs.toDouble()

    /** Time to wait for the next answer, in ms. */
    public val timeoutMs: Long get() = current.toLong()

    public fun onAnswer(latencyMs: Long) {
        val wanted = (latencyMs * LATENCY_FACTOR).coerceIn(shortestMs.toDouble(), longestMs.toDouble())
        current += (wanted - current) * WEIGHT
    }

    public fun onLost() {
        current = minOf(longestMs.toDouble(), current * 2)
    }

    private companion object {
        // Latencies of the store vary by about this factor within a calm day.
        const val LATENCY_FACTOR = 8.0

        // About ten answers decide.
        const val WEIGHT = 0.2
    }
}
