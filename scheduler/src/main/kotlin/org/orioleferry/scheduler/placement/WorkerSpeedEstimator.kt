package org.orioleferry.scheduler.placement

import kotlin.math.exp
import kotlin.math.ln

/**
 * Estimates the relative speed of workers by comparing the duration of their completed runs with the callers'
 * estimates. The progress of runs, and stalls, only mark a worker as troubled.
 *
 * The callers' estimates are biased and differ in quality between queues, so each observation is taken relative to the
 * mean of its queue and weighted by the inverse of the variance of the queue.
 */
internal class WorkerSpeedEstimator {
    private class LogRatioStatistics {
        var count = 0
        var mean = 0.0
        var squaredDeviations = 0.0

        fun add(value: Double) {
            count++
            val delta = value - mean
            mean += delta / count
            squaredDeviations += delta * (value - mean)
        }

        val variance: Double get() =
            if (count <
                MIN_OBSERVATIONS
            ) {
                DEFAULT_VARIANCE
            } else {
                maxOf(MIN_VARIANCE, squaredDeviations / count)
            }
    }

    private class WorkerState(
        var weightedDeviations: Double = 0.0,
        var weight: Double = 0.0,
        var lastTroubleMs: Long = Long.MIN_VALUE / 2,
    )

    private val queues = HashMap<String, LogRatioStatistics>()
    private val workers = HashMap<String, WorkerState>()

    /** Records that a run of [queue] on [worker] completed after [tookMs] against an estimate of [estimateMs]. */
    fun recordCompletion(
        worker: String,
        queue: String,
        estimateMs: Long,
        tookMs: Long,
    ) {
        if (estimateMs <= 0 || tookMs <= 0) return
        val logRatio = ln(estimateMs.toDouble() / tookMs)
        val stats = queues.getOrPut(queue) { LogRatioStatistics() }
        val state = workers.getOrPut(worker) { WorkerState() }
        if (stats.count >= MIN_OBSERVATIONS) {
            val weight = 1 / stats.variance
            val decay = 1 - weight / MAX_TOTAL_WEIGHT
            state.weightedDeviations =
                state.weightedDeviations * decay +
                (logRatio - stats.mean).coerceIn(-MAX_DEVIATION, MAX_DEVIATION) * weight
            state.weight = state.weight * decay + weight
        }
        stats.add(logRatio)
    }

    /** Records that a run of [queue] on [worker] has done the share [done] (0 to 1) of its work after [elapsedMs]. */
    fun recordProgress(
        worker: String,
        queue: String,
        estimateMs: Long,
        done: Double,
        elapsedMs: Long,
        nowMs: Long,
    ) {
        val stats = queues[queue] ?: return
        if (stats.count < MIN_OBSERVATIONS || stats.variance > MAX_USABLE_VARIANCE) return
        if (estimateMs <= 0 || elapsedMs < MIN_ELAPSED_MS) return
        val deviation = ln(maxOf(done, MIN_PROGRESS_SHARE) * estimateMs / elapsedMs) - stats.mean
        val state = workers.getOrPut(worker) { WorkerState() }
        if (deviation < TROUBLED_LOG_RATIO) {
            state.lastTroubleMs = nowMs
        } else if (deviation > -stats.variance) {
            state.lastTroubleMs = Long.MIN_VALUE / 2
        }
    }

    /** Records that runs on [worker] make no progress. */
    fun recordStall(
        worker: String,
        nowMs: Long,
    ) {
        workers.getOrPut(worker) { WorkerState() }.lastTroubleMs = nowMs
    }

    /**
     * Whether the worker was last found stalled, or several times slower than the estimates suggest, less than
     * [TROUBLE_EXPIRY_MS] ms ago and has not been found healthy since.
     */
    fun isTroubled(
        worker: String,
        nowMs: Long,
    ): Boolean = workers[worker]?.let { nowMs - it.lastTroubleMs < TROUBLE_EXPIRY_MS } ?: false

    /** Returns the speed of the worker relative to the mean of all; close to 1 while there are few observations. */
    fun speedOf(worker: String): Double {
        val state = workers[worker] ?: return 1.0
        return exp(state.weightedDeviations / (state.weight + PRIOR_WEIGHT))
    }

    private companion object {
        // With fewer observations the variance of a queue is not known.
        const val MIN_OBSERVATIONS = 8
        const val DEFAULT_VARIANCE = 1.0
        const val MIN_VARIANCE = 0.01

        // A standard deviation of a factor of 1.6. Estimates that scatter more say nothing about the progress of a
        // single worker.
        const val MAX_USABLE_VARIANCE = 0.22

        // Troubled workers take at least four times as long as healthy ones; the threshold is a factor of 3.3.
        const val TROUBLED_LOG_RATIO = -1.2
        const val MIN_PROGRESS_SHARE = 0.01
        const val MIN_ELAPSED_MS = 1_200L
        const val TROUBLE_EXPIRY_MS = 4_000L

        // Speeds of healthy workers differ by about a quarter, a variance of 0.05; the prior weight is its inverse.
        const val PRIOR_WEIGHT = 20.0

        // The weight of about 30 runs with good estimates, at a variance of 0.075. Older observations decay in
        // proportion to the weight of the new one, so an unreliable observation displaces little.
        const val MAX_TOTAL_WEIGHT = 400.0
        const val MAX_DEVIATION = 1.0
    }
}
