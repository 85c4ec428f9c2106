package org.orioleferry.scheduler.owner

import org.orioleferry.core.Clock
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.placement.Plan

/**
 * Logs how the accelerators of each service are used and what waits for them by queue, at most once per [PERIOD_MS].
 *
 * The lines tell whether a queue waits because other queues use the accelerators, or next to accelerators that the
 * planner withholds.
 */
internal class UsageLog(
    private val clock: Clock,
    private val log: DecisionLog,
    private val isEvacuated: (WorkerSession) -> Boolean,
) {
    private var loggedAtMs = Long.MIN_VALUE / 2

    /** Logs the state after a pass that decided on [plan] while [waitingSteps] were waiting. */
    fun record(
        sessions: List<WorkerSession>,
        waitingSteps: List<StepRun>,
        plan: Plan<WaitingTasks, List<Run>>,
    ) {
        if (clock.monotonicMs() - loggedAtMs < PERIOD_MS) return
        loggedAtMs = clock.monotonicMs()
        sessions.groupBy { it.listed.service }.forEach { (service, workers) -> recordService(service, workers, plan) }
        recordQueues(sessions, waitingSteps, plan)
    }

    private fun recordService(
        service: String,
        workers: List<WorkerSession>,
        plan: Plan<WaitingTasks, List<Run>>,
    ) {
        val withheld = plan.withheld[service]
        val (evacuated, others) = workers.partition(isEvacuated)
        log.record(
            SchedulerEvent.SERVICE_USAGE,
            service,
            "accelerators" to workers.sumOf { it.listed.capacity.accelerators },
            "evacuated" to evacuated.sumOf { it.listed.capacity.accelerators },
            "open" to others.filter { it.isOpen }.sumOf { it.listed.capacity.accelerators },
            "free" to others.filter { it.isOpen }.sumOf { maxOf(0, it.free.accelerators) },
            "keptForUrgent" to (withheld?.forUrgent ?: 0),
            "keptForWaiting" to (withheld?.forWaiting ?: 0),
        )
    }

    private fun recordQueues(
        sessions: List<WorkerSession>,
        waitingSteps: List<StepRun>,
        plan: Plan<WaitingTasks, List<Run>>,
    ) {
        val runs = sessions.flatMap { it.runs.values }.groupBy { it.queue }
        val placed = plan.placed.mapTo(HashSet()) { it.demand.key.step }
        val waiting = waitingSteps.groupBy { it.job.accepted.spec.queue }
        (runs.keys + waiting.keys).forEach { queue ->
            val steps = waiting[queue].orEmpty()
            val tasks = steps.sumOf { step -> step.tasks.count { !it.isDone && it.run == null } }
            val oldest = steps.filter { it !in placed }.minOfOrNull { it.readySinceMs }
            log.record(
                SchedulerEvent.QUEUE_USAGE,
                queue,
                "running" to runs[queue].orEmpty().size,
                "accelerators" to runs[queue].orEmpty().sumOf { it.task.step.spec.need.accelerators },
                "stopping" to runs[queue].orEmpty().count { it.state == RunState.STOPPING },
                "waitingJobs" to steps.distinctBy { it.job }.size,
                "waitingTasks" to tasks,
                "oldestMs" to (oldest?.let { clock.monotonicMs() - it } ?: 0),
            )
        }
    }

    private companion object {
        const val PERIOD_MS = 1_000L
    }
}
