package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.placement.ProgressPace
import org.orioleferry.scheduler.workers.PresentRun
import org.orioleferry.scheduler.workers.RunId

/** State of a run as known to the owner. */
internal enum class RunState {
    /** The start order is in flight or its outcome is unknown. */
    STARTING,
    RUNNING,

    /** A stop was decided; the run's resources stay allocated until its end is certain. */
    STOPPING,
}

/** A run of a task on a worker, kept until its end is certain. */
internal class Run(
    val id: RunId,
    val task: Task,
    val session: WorkerSession,
    var state: RunState,
    val startedAtMs: Long,
) {
    val queue: String get() = task.step.job.accepted.spec.queue
    val estimateMs: Long get() = task.step.spec.estimateMs

    /** Incarnation of the worker for which the run was ordered. */
    val incarnationMs: Long = session.listed.incarnationMs

    /** Whether the run is the trial of a suspect, beside which nothing else is started until it has passed. */
    var isTrial = false
    var checkpoint: String = ""
    var ticket: String = ""
    var percent: Double = 0.0

    /** First progress that the worker listed, and its monotonic time; a resumed run does not begin at 0. */
    var firstPercent: Double = 0.0
    var firstPercentAtMs: Long = startedAtMs

    /** Monotonic time since which the run is known to work, or null while its start has no answer. */
    var beganMs: Long? = null
        private set

    /** Whether an order to start the run was sent, so that it may hold a lease. */
    var isOrdered = false

    /** Whether the worker has accepted the order to stop the run. */
    var isStopAccepted = false

    /** Whether another member of the gang has ended, upon which the worker ends this one by itself. */
    var isGangBroken = false

    /** Whether the incarnation of the worker on which the run was started is over. */
    var isOrphaned = false

    /** Whether the run belongs to a queue of the highest priority. */
    var isUrgent = false

    /** Whether the duration of the run measures its worker's speed: it was not resumed and runs near its data. */
    var isSpeedSample = false

    /** Monotonic time at which the worker last listed the run. */
    var listedAtMs: Long = startedAtMs
        private set

    /** Whether [percent] is fine enough to predict the end of the run. */
    val hasUsableProgress: Boolean get() = percent >= MIN_PROGRESS_PERCENT

    /** Monotonic time at which [percent] was last seen to grow. */
    var progressedAtMs: Long = startedAtMs

    /** Time on the worker's clock, in ms, over which consecutive listings showed no progress. */
    var unchangedMs = 0L

    /** Value of [unchangedMs] at which the run was suspected to stand still, or -1; a later listing confirms it. */
    var suspectedAtMs = -1L

    /** Speed at which the run proceeds, on the worker's clock. */
    val pace = ProgressPace()

    /** Whether the run may be several times slower than expected, which a listing soon after confirms or refutes. */
    var seemsSlow = false

    /** Whether the run was slow while another run on its worker was not. */
    var isLongTask = false

    /** Monotonic time at which the checkpoint was last seen to change. */
    var checkpointedAtMs: Long = startedAtMs

    /** Monotonic time at which the worker confirmed the start or stop; answers to later renewals must list the run. */
    var confirmedAtMs: Long? = null

    /** Returns the time in ms until the run ends, extrapolated from its progress; [Long.MAX_VALUE] if unknown. */
    fun remainingMs(nowMs: Long): Long {
        val progress = percent - firstPercent
        if (progress < MIN_PROGRESS_PERCENT) return Long.MAX_VALUE
        val msPerPercent = (progressedAtMs - firstPercentAtMs) / progress
        return untilMs(progressedAtMs + ((PERCENT - percent) * msPerPercent).toLong(), nowMs)
    }

    /** Like [remainingMs], but falls back on the time since the start and the caller's estimate. */
    fun expectedRemainingMs(nowMs: Long): Long {
        val remainingMs = remainingMs(nowMs)
        val beganMs = confirmedAtMs
        if (remainingMs != Long.MAX_VALUE || !isSpeedSample || beganMs == null) return remainingMs
        val hasProgress = percent >= MIN_PROGRESS_PERCENT
        val durationMs = if (hasProgress) ((progressedAtMs - beganMs) * PERCENT / percent).toLong() else estimateMs
        return untilMs(beganMs + durationMs, nowMs)
    }

    // A run that is overdue by more than the margin shows that the prediction was wrong.
    private fun untilMs(
        endMs: Long,
        nowMs: Long,
    ): Long = if (endMs - nowMs < -OVERDUE_MARGIN_MS) Long.MAX_VALUE else endMs - nowMs

    /**
     * Applies a listing by the worker. [sinceListedMs] is the time on the worker's clock since its last listing, or null
     * when the gap is too long to show whether the run makes progress.
     */
    fun observe(
        entry: PresentRun,
        sinceListedMs: Long?,
        nowMs: Long,
    ) {
        if (beganMs == null) onBegun(nowMs)
        listedAtMs = nowMs
        if (entry.percent > percent || sinceListedMs == null) {
            unchangedMs = 0
            suspectedAtMs = -1
        } else {
            unchangedMs += sinceListedMs
        }
        if (firstPercentAtMs == startedAtMs) {
            firstPercentAtMs = nowMs
            firstPercent = entry.percent
        }
        if (entry.percent > percent) progressedAtMs = nowMs
        percent = entry.percent
        if (entry.checkpoint.isNotEmpty() && entry.checkpoint != checkpoint) {
            checkpoint = entry.checkpoint
            checkpointedAtMs = nowMs
        }
        pace.add(sinceListedMs?.let { minOf(it, nowMs - (confirmedAtMs ?: nowMs)) }, entry.percent)
    }

    /** The run is known to work since the monotonic time [nowMs]. */
    fun onBegun(nowMs: Long) {
        beganMs = nowMs
        task.step.job.hasBegun = true
    }

    /** Returns the time in ms for which the run is known to have worked at [nowMs]. */
    fun provenMs(nowMs: Long): Long = beganMs?.let { maxOf(0, nowMs - it) } ?: 0

    private companion object {
        const val PERCENT = 100

        // Progress below this is too coarse to predict an end.
        const val MIN_PROGRESS_PERCENT = 15

        // Longest time between two listings of a worker's runs.
        const val OVERDUE_MARGIN_MS = 2_000L
    }
}
