package org.orioleferry.scheduler.owner

import org.orioleferry.core.Clock
import org.orioleferry.scheduler.placement.DurationModel
import org.orioleferry.scheduler.placement.DurationRatios

/**
 * Predicts when runs end: from their progress, and from the learnt [durations] while that is too coarse. Without
 * [durations] the estimate of the caller takes their place, or nothing does.
 */
internal class RunForecast(
    private val durations: DurationModel?,
    private val clock: Clock,
) {
    /**
     * Returns the time in ms in which [run] ends by itself, with a probability of 90% where its progress does not tell;
     * [Long.MAX_VALUE] if it is unknown. Used for runs whose worker is leaving.
     */
    fun leavingRemainingMs(run: Run): Long {
        val nowMs = clock.monotonicMs()
        val ratios = learntRatios(run) ?: return run.expectedRemainingMs(nowMs)
        return remainingMs(run, ratios.percentile90, ratios.percentile90, nowMs)
    }

    /**
     * Like [leavingRemainingMs], for runs that urgent work may stop or wait for. It waits up to 2 s for a run in vain, so
     * a run is only predicted to end while most runs of its kind have not ended: four of five of these end in time.
     */
    fun victimRemainingMs(run: Run): Long {
        val nowMs = clock.monotonicMs()
        val ratios = learntRatios(run) ?: return run.remainingMs(nowMs)
        return remainingMs(run, ratios.percentile90, ratios.median, nowMs)
    }

    /** Returns the ratios by which the end of [run] is predicted, or null where its progress or its estimate tell. */
    private fun learntRatios(run: Run): DurationRatios? =
        durations
            ?.takeIf { run.confirmedAtMs != null && run.isSpeedSample && !run.hasUsableProgress }
            ?.ratiosOf(run.queue, run.task.step.spec.count)

    /** Returns the time until [run] has taken [ratio] times its estimate, if it has not yet taken [limit] times as long. */
    private fun remainingMs(
        run: Run,
        ratio: Double,
        limit: Double,
        nowMs: Long,
    ): Long {
        val beganMs = run.confirmedAtMs ?: return Long.MAX_VALUE
        if (nowMs - beganMs > run.estimateMs * limit) return Long.MAX_VALUE
        val durationMs = maxOf((run.estimateMs * ratio).toLong(), shortestDurationMs(run, beganMs))
        return beganMs + durationMs - nowMs
    }

    /**
     * Returns the shortest duration in ms that agrees with the listed progress, which is rounded down to whole percent.
     * It is 0 before the first listing.
     */
    private fun shortestDurationMs(
        run: Run,
        beganMs: Long,
    ): Long = ((run.listedAtMs - beganMs) * WHOLE_PERCENT / (run.percent + 1)).toLong().coerceAtLeast(0)

    private companion object {
        const val WHOLE_PERCENT = 100
    }
}
