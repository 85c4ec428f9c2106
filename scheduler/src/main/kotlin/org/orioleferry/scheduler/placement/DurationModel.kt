package org.orioleferry.scheduler.placement

import org.HdrHistogram.IntCountsHistogram
import kotlin.math.roundToLong

/**
 * Durations of completed runs relative to their estimates.
 *
 * @property median ratio that half of the runs do not exceed.
 * @property percentile90 ratio that nine of ten runs do not exceed.
 */
internal data class DurationRatios(
    val median: Double,
    val percentile90: Double,
)

/**
 * Learns how long runs take relative to the callers' estimates, for each queue and number of tasks of the step, and for
 * each queue as a whole.
 *
 * It holds at most [MAX_KEYS] histograms of 5 KB each, 0.35 MB in all; the least recently used one is removed first.
 */
internal class DurationModel {
    /** [taskCountBits] is the number of binary digits of the step's number of tasks, or [ALL_COUNTS]. */
    private data class Key(
        val queue: String,
        val taskCountBits: Int,
    )

    private class Samples {
        private val histogram = IntCountsHistogram(1, (MAX_RATIO * UNITS_PER_RATIO).toLong(), SIGNIFICANT_DIGITS)
        private var ratios: DurationRatios? = null

        fun add(ratio: Double) {
            histogram.recordValue((ratio.coerceIn(MIN_RATIO, MAX_RATIO) * UNITS_PER_RATIO).roundToLong())
            ratios = null
        }

        /** Returns the ratios, or null with fewer than [MIN_SAMPLES]. They are computed once for each new sample. */
        fun ratios(): DurationRatios? {
            if (histogram.totalCount < MIN_SAMPLES) return null
            return ratios ?: DurationRatios(ratioAt(MEDIAN), ratioAt(PERCENTILE_90)).also { ratios = it }
        }

        private fun ratioAt(percentile: Double) = histogram.getValueAtPercentile(percentile) / UNITS_PER_RATIO
    }

    private val samplesByKey =
        object : LinkedHashMap<Key, Samples>(MAX_KEYS, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<Key, Samples>): Boolean = size > MAX_KEYS
        }

    /** Number of histograms held. */
    val keyCount: Int get() = samplesByKey.size

    /**
     * Records that a run of [queue], in a step of [taskCount] tasks, completed after [tookMs] against an estimate of
     * [estimateMs]. Ignores runs without an estimate or a duration.
     */
    fun record(
        queue: String,
        taskCount: Int,
        estimateMs: Long,
        tookMs: Long,
    ) {
        if (estimateMs <= 0 || tookMs <= 0) return
        val ratio = tookMs.toDouble() / estimateMs
        samplesByKey.getOrPut(keyOf(queue, taskCount)) { Samples() }.add(ratio)
        samplesByKey.getOrPut(Key(queue, ALL_COUNTS)) { Samples() }.add(ratio)
    }

    /**
     * Returns the ratios for runs of steps with [taskCount] tasks, those of the whole [queue] while there are few such
     * runs, and [UNKNOWN] while the queue has few as well.
     */
    fun ratiosOf(
        queue: String,
        taskCount: Int,
    ): DurationRatios = samplesByKey[keyOf(queue, taskCount)]?.ratios() ?: ratiosOf(queue)

    /** Returns the ratios for all runs of [queue], or [UNKNOWN] while there are few. */
    fun ratiosOf(queue: String): DurationRatios = samplesByKey[Key(queue, ALL_COUNTS)]?.ratios() ?: UNKNOWN

    private fun keyOf(
        queue: String,
        taskCount: Int,
    ) = Key(queue, Int.SIZE_BITS - taskCount.countLeadingZeroBits())

    companion object {
        /** Ratios that apply until [MIN_SAMPLES] runs have completed. */
        val UNKNOWN = DurationRatios(median = 1.0, percentile90 = 2.0)

        /** Completed runs from which on the ratios are learnt ones. */
        const val MIN_SAMPLES = 16

        /** Most histograms that are held. */
        const val MAX_KEYS = 64

        // Estimates are off by a factor of two, tasks take up to 7 times as long, and slow workers are 7 times as slow.
        private const val MAX_RATIO = 50.0
        private const val MIN_RATIO = 0.02
        private const val UNITS_PER_RATIO = 1_000.0

        // A resolution of 1%.
        private const val SIGNIFICANT_DIGITS = 2
        private const val MEDIAN = 50.0
        private const val PERCENTILE_90 = 90.0
        private const val ALL_COUNTS = -1
        private const val LOAD_FACTOR = 0.75f
    }
}
