package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.placement.SpeedBook

/** Judges workers by the runs on them, and moves tasks off workers on which nothing moves. */
internal class ProgressWatch(
    private val parts: OwnerParts,
    private val orders: RunOrders,
) {
    private val clock = parts.clock
    private val log = parts.log

    /** Speeds of the workers as far as the runs of this term tell. */
    val speeds = SpeedBook()

    /** Takes what a list of the worker showed. */
    fun observe(session: WorkerSession) {
        session.runs.values.forEach(::observeProgress)
        session.runs.values
            .filter { isStalled(it) }
            .forEach { onStalled(it) }
    }

    /** Takes the duration of a run that was done. */
    fun observeDone(run: Run) {
        val beganMs = run.confirmedAtMs ?: return
        if (!run.isTelling) return
        speeds.observeDone(run.session.id, run.queue, run.estimateMs, clock.monotonicMs() - beganMs)
    }

    private fun observeProgress(run: Run) {
        val beganMs = run.confirmedAtMs ?: return
        if (!run.isTelling || run.state != RunState.RUNNING) return
        val now = clock.monotonicMs()
        speeds.observeProgress(run.session.id, run.queue, run.estimateMs, run.percent / PERCENT, now - beganMs, now)
    }

    private fun isStalled(run: Run): Boolean {
        val spec = run.task.step.spec
        if (run.state != RunState.RUNNING || spec.isLasting || run.confirmedAtMs == null) return false
        // A member of a gang that has done its part waits for the others.
        if (run.percent >= PERCENT) return false
        val patienceMs = maxOf(STALLED_MS, (spec.estimateMs * STALLED_SHARE).toLong())
        return clock.monotonicMs() - run.progressedAtMs > patienceMs
    }

    /** Starts the task elsewhere if little is lost by that; a worker on which work stands still recovers after seconds. */
    private fun onStalled(run: Run) {
        val step = run.task.step
        speeds.noteStalled(run.session.id, clock.monotonicMs())
        val losesLittle = run.isUrgent || run.percent < LITTLE_PERCENT || run.checkpoint.isNotEmpty()
        if (!losesLittle || step.stalls >= MOST_STALLS * step.spec.count) return
        step.stalls++
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

        // Progress is listed in whole percent; a task of a minute at normal speed moves by 2 in this time.
        const val STALLED_MS = 1_200L
        const val STALLED_SHARE = 0.03
        const val LITTLE_PERCENT = 20

        // Restarts that a wrong judgement may cost.
        const val MOST_STALLS = 2
    }
}
