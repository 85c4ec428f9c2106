package org.orioleferry.core.replay

import java.util.PriorityQueue

/**
 * Mean slowdown of [jobs] that no schedule can beat, with the data centres that the jobs have been assigned to.
 *
 * Slowdown is the time from submission to the end relative to the run time, so the sum of slowdowns is a weighted sum
 * of completion times with the weights 1 / run time. The bound relaxes the data centre to one resource that is divided
 * freely among the submitted jobs, without gangs, workers, guarantees or the loss of a stop. There, the sum of weighted
 * mean busy times is least when the capacity always goes to the job with the greatest ratio of weight to work (a
 * transportation problem, which greedy allocation solves). In every real schedule, a job that runs for `workMs` ends at
 * least `workMs / 2` after the mean of its busy time. No job has a slowdown below 1 either. For a whole data centre the
 * sum is often below 1 per job, so the bound is taken over subsets, see [excessOverOne].
 */
public fun meanSlowdownBound(
    jobs: List<StreamJob>,
    acceleratorsPerDataCentre: Int,
): Double {
    if (jobs.isEmpty()) return 1.0
    val excess = jobs.groupBy(StreamJob::dataCentre).values.sumOf { excessOverOne(it, acceleratorsPerDataCentre) }
    return 1.0 + excess / jobs.size
}

private const val MAX_SEGMENT_JOBS = 60
private val GANG_SIZE_THRESHOLDS = listOf(1, 4, 8, 16)

/**
 * Lower bound of the sum of slowdowns, less 1 for each job.
 *
 * The bound of a subset holds for the subset alone, so bounds of disjoint subsets add up. The subsets tried are
 * runs of successive jobs, and within them the gangs from a threshold size on, since jobs from times of low load and
 * small jobs lower the bound.
 */
private fun excessOverOne(
    jobs: List<StreamJob>,
    capacity: Int,
): Double {
    val sorted = jobs.sortedBy { it.submittedMs }
    val best = DoubleArray(sorted.size + 1)
    for (end in 1..sorted.size) {
        best[end] = best[end - 1]
        for (start in maxOf(0, end - MAX_SEGMENT_JOBS) until end) {
            val gain = excessOfSegment(sorted.subList(start, end), capacity)
            best[end] = maxOf(best[end], best[start] + gain)
        }
    }
    return best.last()
}

private fun excessOfSegment(
    segment: List<StreamJob>,
    capacity: Int,
): Double =
    GANG_SIZE_THRESHOLDS.maxOf { threshold ->
        val subset = segment.filter { it.gang.accelerators >= threshold }
        if (subset.isEmpty()) 0.0 else boundSlowdownSum(subset, capacity) - subset.size
    }

/** Time on the whole fluid resource that a job still needs, and the integral of the moments at which it was served. */
private class FluidJob(
    val job: StreamJob,
    capacity: Int,
) {
    val totalMs = job.gang.accelerators.toDouble() * job.workMs / capacity
    val ratio = 1.0 / (job.workMs * totalMs)
    var leftMs = totalMs
    var timeIntegral = 0.0

    /** Smallest possible slowdown of this job, given the mean of its busy time. */
    val slowdown: Double get() = (timeIntegral / totalMs + job.workMs / 2.0 - job.submittedMs) / job.workMs

    fun run(
        fromMs: Double,
        durationMs: Double,
    ) {
        timeIntegral += durationMs * (fromMs + durationMs / 2)
        leftMs -= durationMs
    }
}

private fun boundSlowdownSum(
    jobs: List<StreamJob>,
    capacity: Int,
): Double {
    val all = jobs.sortedBy { it.submittedMs }.map { FluidJob(it, capacity) }
    val ready = PriorityQueue<FluidJob>(compareByDescending { it.ratio })
    var nowMs = 0.0
    var next = 0
    while (next < all.size || ready.isNotEmpty()) {
        if (ready.isEmpty()) nowMs = maxOf(nowMs, all[next].job.submittedMs.toDouble())
        while (next < all.size && all[next].job.submittedMs <= nowMs) ready += all[next++]
        val current = ready.peek()
        val untilMs = if (next < all.size) all[next].job.submittedMs.toDouble() else Double.MAX_VALUE
        val isLast = current.leftMs <= untilMs - nowMs
        val durationMs = if (isLast) current.leftMs else untilMs - nowMs
        current.run(nowMs, durationMs)
        nowMs = if (isLast) nowMs + durationMs else untilMs
        if (isLast) ready.poll()
    }
    return all.sumOf { it.slowdown }
}
