package org.orioleferry.scheduler.placement

/**
 * Measures how fast a run proceeds, on the clock of its worker, from progress that is listed in whole percent.
 *
 * A worker that stands still for a moment does so within one interval between two listings, so the last interval and all
 * time before it are judged apart: only a run that is slow in both is slow.
 */
internal class ProgressPace {
    private var startPercent = 0.0
    private var lastStartPercent = 0.0
    private var percent = 0.0
    private var openMs = 0L

    /** Time in ms before the last interval that was long enough to judge. */
    var earlierMs = 0L
        private set

    /** Length in ms of the last interval that was long enough to judge, or 0 before the first. */
    var lastMs = 0L
        private set

    /** Time in ms over which the pace is measured. */
    val totalMs: Long get() = earlierMs + lastMs

    /**
     * Adds a listing that shows [newPercent] of the work done, [sinceMs] after the last one or after the start. Measures
     * from this listing on if [sinceMs] is null, as after a gap.
     */
    fun add(
        sinceMs: Long?,
        newPercent: Double,
    ) {
        if (sinceMs == null) {
            earlierMs = 0
            lastMs = 0
            openMs = 0
            startPercent = newPercent
            percent = newPercent
            return
        }
        openMs += sinceMs
        if (openMs < MIN_INTERVAL_MS) return
        earlierMs += lastMs
        lastStartPercent = if (totalMs == 0L) startPercent else percent
        lastMs = openMs
        openMs = 0
        percent = newPercent
    }

    /**
     * Returns the shortest duration in ms of a whole run at the pace of all time measured but [waitedMs] ms in which the
     * run could not work; 0 if there is none.
     */
    fun shortestDurationMs(waitedMs: Long = 0): Long = shortest(totalMs - waitedMs, percent - startPercent)

    /** Like [shortestDurationMs], for the time before the last interval. */
    fun shortestEarlierMs(waitedMs: Long = 0): Long = shortest(earlierMs - waitedMs, lastStartPercent - startPercent)

    /** Like [shortestDurationMs], for the last interval. */
    fun shortestLastMs(): Long = shortest(lastMs, percent - lastStartPercent)

    /** Returns the most likely duration in ms of a whole run at the pace of all time measured. */
    fun likelyDurationMs(): Long = likely(totalMs, percent - startPercent)

    /** Like [likelyDurationMs], for the last interval. */
    fun likelyLastMs(): Long = likely(lastMs, percent - lastStartPercent)

    // Progress is rounded down, so less than one percent more than listed was done.
    private fun shortest(
        elapsedMs: Long,
        gained: Double,
    ): Long = (elapsedMs.coerceAtLeast(0) * WHOLE / (gained + 1)).toLong()

    private fun likely(
        elapsedMs: Long,
        gained: Double,
    ): Long = (elapsedMs * WHOLE / (gained + HALF_PERCENT)).toLong()

    private companion object {
        // A healthy run of 8 s shows 3% in this time.
        const val MIN_INTERVAL_MS = 250L
        const val WHOLE = 100
        const val HALF_PERCENT = 0.5
    }
}
