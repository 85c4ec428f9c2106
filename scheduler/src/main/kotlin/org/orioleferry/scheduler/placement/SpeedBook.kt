package org.orioleferry.scheduler.placement

import kotlin.math.exp
import kotlin.math.ln

/**
 * Learns how fast workers are from the durations and the progress of their runs against the callers' estimates.
 *
 * Estimates are biased and differ in quality between queues, so each observation is taken relative to the mean of its
 * queue and weighed by the inverse of the queue's variance.
 */
internal class SpeedBook {
    private class Spread {
        var count = 0
        var mean = 0.0
        var squares = 0.0

        fun add(value: Double) {
            count++
            val delta = value - mean
            mean += delta / count
            squares += delta * (value - mean)
        }

        val variance: Double get() =
            if (count <
                MIN_OBSERVATIONS
            ) {
                UNKNOWN_VARIANCE
            } else {
                maxOf(MIN_VARIANCE, squares / count)
            }
    }

    private class Worker(
        var sum: Double = 0.0,
        var weight: Double = 0.0,
        var troubleSinceMs: Long = Long.MIN_VALUE / 2,
    )

    private val queues = HashMap<String, Spread>()
    private val workers = HashMap<String, Worker>()

    /** A run of [queue] on [worker] was done after [tookMs] against an estimate of [estimateMs]. */
    fun observeDone(
        worker: String,
        queue: String,
        estimateMs: Long,
        tookMs: Long,
    ) {
        if (estimateMs <= 0 || tookMs <= 0) return
        val ratio = ln(estimateMs.toDouble() / tookMs)
        val spread = queues.getOrPut(queue) { Spread() }
        val state = workers.getOrPut(worker) { Worker() }
        if (spread.count >= MIN_OBSERVATIONS) {
            val weight = 1 / spread.variance
            val kept = 1 - weight / REMEMBERED_WEIGHT
            state.sum = state.sum * kept + (ratio - spread.mean).coerceIn(-LARGEST_STEP, LARGEST_STEP) * weight
            state.weight = state.weight * kept + weight
        }
        spread.add(ratio)
    }

    /** A run of [queue] on [worker] has done the share [done] (0 to 1) of its estimate after [elapsedMs]. */
    fun observeProgress(
        worker: String,
        queue: String,
        estimateMs: Long,
        done: Double,
        elapsedMs: Long,
        nowMs: Long,
    ) {
        val spread = queues[queue] ?: return
        if (spread.count < MIN_OBSERVATIONS || spread.variance > USABLE_VARIANCE) return
        if (estimateMs <= 0 || elapsedMs < MIN_ELAPSED_MS) return
        val ratio = ln(maxOf(done, SMALLEST_SHARE) * estimateMs / elapsedMs) - spread.mean
        val state = workers.getOrPut(worker) { Worker() }
        if (ratio < TROUBLED_RATIO) {
            state.troubleSinceMs = nowMs
        } else if (ratio > -spread.variance) {
            state.troubleSinceMs = Long.MIN_VALUE / 2
        }
    }

    /** Runs on [worker] make no progress. */
    fun noteStalled(
        worker: String,
        nowMs: Long,
    ) {
        workers.getOrPut(worker) { Worker() }.troubleSinceMs = nowMs
    }

    /** Whether the worker was several times slower than its peers a short while ago. */
    fun isTroubled(
        worker: String,
        nowMs: Long,
    ): Boolean = workers[worker]?.let { nowMs - it.troubleSinceMs < REMEMBERED_MS } ?: false

    /** Speed of the worker against the mean of all; 1 while little is known. */
    fun speedOf(worker: String): Double {
        val state = workers[worker] ?: return 1.0
        return exp(state.sum / (state.weight + PRIOR_WEIGHT))
    }

    private companion object {
        // Below this the spread of a queue is not known.
        const val MIN_OBSERVATIONS = 8
        const val UNKNOWN_VARIANCE = 1.0
        const val MIN_VARIANCE = 0.01

        // A factor of 1.6 either way; estimates that are further off say nothing about a single worker's progress.
        const val USABLE_VARIANCE = 0.22

        // Workers that are in trouble take four times as long or more.
        const val TROUBLED_RATIO = -1.2
        const val SMALLEST_SHARE = 0.01
        const val MIN_ELAPSED_MS = 1_200L
        const val REMEMBERED_MS = 4_000L

        // Speeds of sound workers differ by about a quarter, a variance of 0.05.
        const val PRIOR_WEIGHT = 20.0

        // About 30 runs with good estimates; what tells little also displaces little.
        const val REMEMBERED_WEIGHT = 400.0
        const val LARGEST_STEP = 1.0
    }
}
