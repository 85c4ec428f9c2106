package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.placement.DurationModel
import org.orioleferry.scheduler.placement.WorkerSpeedEstimator

/** Derives worker speeds from the progress of runs, and restarts stalled tasks on other workers. */
internal class ProgressMonitor(
    private val dependencies: OwnerDependencies,
    private val orders: RunOrders,
) {
    private val clock = dependencies.clock
    private val log = dependencies.log

    /** Speeds of the workers, derived from the runs of this term. */
    val speeds = WorkerSpeedEstimator()

    /** Durations of the runs of this term, or null where decisions do not use them. */
    val durations: DurationModel? = dependencies.settings.shortage?.let { DurationModel() }

    /** Restarts urgent runs on slow workers, or null where this is not in force. */
    val slowRuns: SlowRuns? = durations?.let { SlowRuns(dependencies, orders, it, speeds) }

    /** Evaluates the runs of [session] after the worker has listed them. */
    fun observe(session: WorkerSession) {
        session.runs.values.forEach(::recordProgress)
        session.runs.values
            .filter { isStalled(it) }
            .forEach { onStalled(it) }
        slowRuns?.check(session)
    }

    /** Records the duration of a run that is done. */
    fun recordCompletion(run: Run) {
        val beganMs = run.confirmedAtMs ?: return
        if (!run.isSpeedSample) return
        speeds.recordCompletion(run.session.id, run.queue, run.estimateMs, clock.monotonicMs() - beganMs)
        recordDuration(run)
    }

    /** Records the duration of a gang once, when its first member ends, from the start of its last member. */
    private fun recordDuration(run: Run) {
        val step = run.task.step
        // A run that ends before its stop takes effect was confirmed by the stop, not by its start.
        if (durations == null || run.task.isDone || run.state == RunState.STOPPING) return
        val members = if (step.spec.isGang) step.tasks.mapNotNull { it.run } else listOf(run)
        val beganMs = members.mapNotNull { it.confirmedAtMs }.maxOrNull() ?: return
        durations.record(run.queue, step.spec.count, run.estimateMs, clock.monotonicMs() - beganMs)
    }

    private fun recordProgress(run: Run) {
        val beganMs = run.confirmedAtMs ?: return
        if (!run.isSpeedSample || run.state != RunState.RUNNING) return
        val now = clock.monotonicMs()
        speeds.recordProgress(run.session.id, run.queue, run.estimateMs, run.percent / PERCENT, now - beganMs, now)
    }

    /**
     * Whether [run] stands still, by the clock of its worker. The listing that first shows it only makes the run suspected:
     * a worker that was suspended lists the progress from before, and the next listing shows that the run goes on.
     */
    private fun isStalled(run: Run): Boolean {
        val spec = run.task.step.spec
        if (run.state != RunState.RUNNING || spec.isLasting || run.confirmedAtMs == null) return false
        // A finished member of a gang waits for the other members.
        if (run.percent >= PERCENT) return false
        val stallTimeoutMs = maxOf(MIN_STALL_TIMEOUT_MS, (spec.estimateMs * STALL_TIMEOUT_ESTIMATE_SHARE).toLong())
        if (run.unchangedMs <= stallTimeoutMs) return false
        if (run.suspectedAtMs < 0) run.suspectedAtMs = run.unchangedMs
        return run.unchangedMs - run.suspectedAtMs >= stallTimeoutMs / CONFIRMATION_DIVISOR
    }

    /** Restarts the task on another worker if little work is lost; a stalled worker takes seconds to recover. */
    private fun onStalled(run: Run) {
        val step = run.task.step
        speeds.recordStall(run.session.id, clock.monotonicMs())
        val isCheapToRestart = run.isUrgent || run.percent < CHEAP_RESTART_PERCENT || run.checkpoint.isNotEmpty()
        if (!isCheapToRestart || step.stallRestarts >= MAX_STALL_RESTARTS_PER_TASK * step.spec.count) return
        step.stallRestarts++
        log.record(
            SchedulerEvent.WORKER_SUSPECTED,
            run.session.id,
            "run" to run.id.toLogName(),
            "percent" to run.percent,
        )
        if (step.spec.isGang) {
            orders.stopGangOf(
                run,
                "a member stands still",
            )
        } else {
            orders.stop(run, "the run stands still")
        }
    }

    private companion object {
        const val PERCENT = 100

        // Progress is listed in whole percent; a task of one minute advances by 2 percent in this time at normal speed.
        const val MIN_STALL_TIMEOUT_MS = 1_200L
        const val STALL_TIMEOUT_ESTIMATE_SHARE = 0.03
        const val CHEAP_RESTART_PERCENT = 20

        // A run that goes on shows at least one percent of progress in this part of the stall timeout.
        const val CONFIRMATION_DIVISOR = 4

        // Limits the restarts per task that false stall detections may cause.
        const val MAX_STALL_RESTARTS_PER_TASK = 2
    }
}
