package org.orioleferry.scheduler.placement

import org.orioleferry.scheduler.model.JobSpec
import org.orioleferry.scheduler.model.LoadForecast
import org.orioleferry.scheduler.model.QueuePolicy

/**
 * Refusal of a job that cannot end while it still has value.
 *
 * @property waitMs forecast wait of the step that decides, in ms.
 * @property ageMs age of the forecast in ms.
 * @property chainMs sum of the estimates along the job's longest chain of steps, in ms.
 * @property limitMs time in ms after the submission at which the job is worth nothing.
 * @property retryAfterS time in seconds after which the caller should submit the job again.
 */
internal data class LoadRefusal(
    val waitMs: Long,
    val ageMs: Long,
    val chainMs: Long,
    val limitMs: Long,
    val retryAfterS: Int,
)

/** Decides at the submission of a job whether the load leaves it any chance to end while it still has value. */
internal object AdmissionPolicy {
    /** Age in ms from which a forecast is not used: about twice the time that it takes to reach the slowest follower. */
    const val MAX_FORECAST_AGE_MS = 3_000L

    /**
     * Returns the refusal of [job], or null to accept it. Urgent, lasting and scheduled jobs are never refused, nor are
     * jobs without estimates or without an objective, of which nothing is certain.
     */
    fun refusalOf(
        job: JobSpec,
        forecast: LoadForecast?,
    ): LoadRefusal? {
        val policy = job.policy
        if (forecast == null || forecast.ageMs !in 0 until MAX_FORECAST_AGE_MS) return null
        if (policy == null || policy.priority <= Rank.URGENT) return null
        if (job.schedule != null || job.steps.any { it.isLasting }) return null
        val wait = forecast.waitOf(job.service, policy.priority) ?: return null
        val chainMs = job.longestChainMs
        val limitMs = valueLimitMs(policy, chainMs)
        if (chainMs <= 0 || limitMs <= 0) return null
        // The steps that come before one pass while it waits, so only the wait and what follows count for each.
        val last =
            job.steps.indices.maxByOrNull { endMs(wait.waitMs(job.steps[it].countedNeed), job, it) } ?: return null
        val waitMs = wait.waitMs(job.steps[last].countedNeed)
        val excessMs = endMs(waitMs, job, last) - limitMs
        if (excessMs <= 0) return null
        return LoadRefusal(waitMs, forecast.ageMs, chainMs, limitMs, retryAfterS(job.id, excessMs))
    }

    /** Returns the time in ms after its beginning at which a job with a chain of [chainMs] is worth nothing. */
    fun valueLimitMs(
        policy: QueuePolicy,
        chainMs: Long,
    ): Long {
        val limitMs = LATE_FACTOR * (policy.stretch * chainMs + policy.objectiveOffsetMs)
        // The conversion turns an infinite limit into the largest one, and one that is no number into 0.
        return minOf(limitMs.toLong(), MAX_LIMIT_MS)
    }

    /** Returns the time in ms that a chain with estimates of [chainMs] takes at the least. */
    fun shortestMs(chainMs: Long): Long = chainMs / 2

    private fun endMs(
        waitMs: Long,
        job: JobSpec,
        step: Int,
    ): Long = waitMs.coerceIn(0, MAX_LIMIT_MS) + shortestMs(job.chainFromMs(step))

    private fun retryAfterS(
        id: String,
        excessMs: Long,
    ): Int {
        val baseS = ((excessMs + MS_PER_S - 1) / MS_PER_S).coerceIn(1, MAX_BASE_S).toInt()
        return baseS + Math.floorMod(id.hashCode(), (baseS + 1) / 2 + 1)
    }

    // A job that ends after three times its objective has no value.
    private const val LATE_FACTOR = 3

    // Keeps sums of times within a Long; about 30 million years.
    private const val MAX_LIMIT_MS = Long.MAX_VALUE / 8
    private const val MS_PER_S = 1_000L

    // With the spread of half of it, rounded up, no caller is sent away for more than 15 s.
    private const val MAX_BASE_S = 10L
}
