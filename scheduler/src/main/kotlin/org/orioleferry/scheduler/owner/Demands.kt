package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.model.Manifest
import org.orioleferry.scheduler.placement.Demand
import org.orioleferry.scheduler.placement.DurationModel
import org.orioleferry.scheduler.placement.QueuePosition
import org.orioleferry.scheduler.placement.QueueWork
import org.orioleferry.scheduler.placement.Rank
import org.orioleferry.scheduler.placement.TrialPlacement
import org.orioleferry.scheduler.placement.WaitingStep
import org.orioleferry.scheduler.placement.hasToStart
import org.orioleferry.scheduler.placement.preemptionBudgetCoreMs
import org.orioleferry.scheduler.placement.queuePositionByDelayCost
import org.orioleferry.scheduler.placement.queuePositionOf
import org.orioleferry.scheduler.placement.trialPlacementOf
import org.orioleferry.scheduler.placement.weightedCores

/** Tasks of one step that are placed together; all but the trials of suspects are placed as one demand. */
internal class WaitingTasks(
    val step: StepRun,
    val tasks: List<Task>,
)

/** Translates the waiting tasks of the owner's jobs into the demands of a [org.orioleferry.scheduler.placement.Planner] pass. */
internal class Demands(
    private val dependencies: OwnerDependencies,
    private val jobRegistry: JobRegistry,
    private val fleet: Fleet,
    private val tickets: TicketProvider,
    private val durations: DurationModel?,
    private val stopIncompleteGang: (StepRun) -> Unit,
) {
    private val clock = dependencies.clock
    private val shortage = dependencies.settings.shortage
    private val queueWork = QueueWork()

    /** Whether [task] can be started: its last run has ended, and nothing delays its next one. */
    fun isWaiting(task: Task): Boolean =
        !task.isDone &&
            task.run == null &&
            task.unresolvedWorker.isEmpty() &&
            clock.monotonicMs() >= task.notBeforeMs

    /** Returns the demands of [step]: one for the trial of each suspect, and one for its other waiting tasks. */
    fun of(
        step: StepRun,
        manifest: Manifest,
        ranks: Ranks,
    ): List<Demand<WaitingTasks>> {
        if (step.readySinceMs < 0) step.readySinceMs = clock.monotonicMs()
        val waiting = step.job.startable(step.tasks.filter(::isWaiting))
        if (waiting.isEmpty()) return emptyList()
        // A gang is restarted only after all runs of its earlier attempt have ended.
        if (step.spec.isGang && waiting.size < step.spec.count) {
            if (step.tasks.none { it.unresolvedWorker.isNotEmpty() }) stopIncompleteGang(step)
            return emptyList()
        }
        val (trials, others) = trialsAmong(step, waiting).entries.partition { it.value != TrialPlacement.NONE }
        val trialDemands = trials.map { (tasks, trial) -> demandOf(tasks, manifest, ranks, trial) }
        if (others.isEmpty()) return trialDemands
        val together = WaitingTasks(step, others.flatMap { it.key.tasks })
        return trialDemands + demandOf(together, manifest, ranks, TrialPlacement.NONE)
    }

    /** Returns how each of the tasks of [waiting], or the gang that they form, is placed. */
    private fun trialsAmong(
        step: StepRun,
        waiting: List<Task>,
    ): Map<WaitingTasks, TrialPlacement> {
        val groups = if (step.spec.isGang) listOf(waiting) else waiting.map { listOf(it) }
        return groups.associate { tasks -> WaitingTasks(step, tasks) to trialOf(tasks) }
    }

    private fun trialOf(tasks: List<Task>): TrialPlacement {
        val suspects = tasks.filter { it.crashes.needsTrial }
        if (suspects.isEmpty()) return TrialPlacement.NONE
        val now = clock.monotonicMs()
        val sinceMs =
            suspects.maxOf { task ->
                task.crashes.waitsSinceMs ?: now.also { task.crashes.waitsSinceMs = it }
            }
        return trialPlacementOf(
            now - sinceMs,
            hasTaskLimit =
                tasks
                    .first()
                    .step.spec.maxPerWorker > 0,
        )
    }

    private fun demandOf(
        waiting: WaitingTasks,
        manifest: Manifest,
        ranks: Ranks,
        trial: TrialPlacement,
    ): Demand<WaitingTasks> {
        val step = waiting.step
        val spec = step.spec
        val now = clock.monotonicMs()
        val width = waiting.tasks.size
        val job = step.job.accepted.spec
        val service = manifest.queue(job.queue)?.service ?: job.service
        val advice = manifest.policyOf(job).advice
        val isTrial = trial != TrialPlacement.NONE
        if (!isTrial && !isReserved(step, width, now)) dropReservation(step, now)
        val rank = ranks.of(step.job)
        val delayed = waitingStepOf(waiting, rank)
        val position = positionOf(step, delayed)
        return Demand(
            key = waiting,
            service = service,
            rank = rank,
            position = if (decidesByCost(rank)) queuePositionByDelayCost(position, delayed) else position,
            need = step.countedNeed,
            width = width,
            isGang = spec.isGang,
            sameRack = spec.sameRack,
            label = spec.label,
            dataRack = spec.dataRack,
            maxPerWorker = spec.maxPerWorker,
            tasksByWorker =
                step.tasks
                    .mapNotNull { it.run?.session?.id }
                    .groupingBy { it }
                    .eachCount(),
            waitedMs = now - step.readySinceMs,
            estimateMs = spec.estimateMs,
            hasLatencyTarget = spec.latencyTargetMs > 0,
            usesSpareCpu = spec.usesSpareCpu,
            hasToStart = shortage?.let { hasToStart(delayed, dependencies.settings.maxStopMs, it) } ?: false,
            preemptionBudgetCoreMs =
                shortage?.let { preemptionBudgetCoreMs(delayed, dependencies.settings.maxStopMs, it) }
                    ?: Long.MAX_VALUE,
            reserved = if (isTrial) emptyList() else step.reserved.map { it.id },
            allowed = advice?.let { latency -> tickets.allowedWorkers(step, latency, usableOf(service)) },
            trial = trial,
            step = step,
        )
    }

    private fun isReserved(
        step: StepRun,
        width: Int,
        nowMs: Long,
    ): Boolean =
        step.reserved.size == width &&
            nowMs - step.reservedAtMs < RESERVATION_MS &&
            step.reserved.all { it.isOpen && !fleet.isEvacuated(it) }

    private fun usableOf(service: String): List<WorkerSession> =
        fleet.sessions.filter { it.listed.service == service && fleet.isUsable(it) }

    /** Whether the order among demands of [rank] follows the cost of a delay. */
    private fun decidesByCost(rank: Int): Boolean = shortage != null && Rank.isUrgent(rank)

    /** Drops the workers that were reserved for [step]; the stops that emptied them were in vain. */
    private fun dropReservation(
        step: StepRun,
        nowMs: Long,
    ) {
        if (step.reserved.isEmpty()) return
        dependencies.log.record(
            SchedulerEvent.PREEMPTION_UNUSED,
            step.job.id,
            "step" to step.index,
            "workers" to step.reserved.size,
            "victims" to step.preemptedRuns,
            "reservedMs" to nowMs - step.reservedAtMs,
        )
        step.reserved = emptyList()
    }

    private fun waitingStepOf(
        waiting: WaitingTasks,
        rank: Int,
    ): WaitingStep {
        val step = waiting.step
        val spec = step.job.accepted.spec
        val now = clock.wallMs()
        val beginMs = spec.schedule?.dueMs(step.occurrence) ?: step.job.accepted.acceptedMs
        val objectiveMs = jobRegistry.objectiveMsOf(step.job)
        val taskWork = maxOf(1, step.spec.estimateMs) * maxOf(1, step.spec.need.weightedCores)
        if (!step.isWorkRecorded) {
            step.isWorkRecorded = true
            queueWork.record(spec.queue, taskWork * step.spec.count)
        }
        return WaitingStep(
            nowMs = now,
            dueMs = beginMs + objectiveMs,
            valueExpiryMs = beginMs + LATE_FACTOR * objectiveMs,
            remainingMs = remainingMsOf(step),
            sinceAcceptedMs = now - beginMs,
            workCoreMs = taskWork * waiting.tasks.size,
            meanWorkCoreMs = queueWork.meanOf(spec.queue),
            isGuaranteed = rank == Rank.GUARANTEED && step.spec.after.isEmpty(),
        )
    }

    private fun positionOf(
        step: StepRun,
        waiting: WaitingStep,
    ): QueuePosition =
        queuePositionOf(
            nowMs = waiting.nowMs,
            dueMs = waiting.dueMs,
            valueExpiryMs = waiting.valueExpiryMs,
            remainingMs = waiting.remainingMs,
            waitingShare = waitingShareOf(step.job.steps(step.occurrence)),
        )

    /**
     * Returns how long the chain that begins with [step] takes according to its estimates, corrected by how long runs of
     * its queue have taken, in ms. The later steps of the chain differ in width, so the ratio of the whole queue applies.
     */
    private fun remainingMsOf(step: StepRun): Long {
        val spec = step.job.accepted.spec
        val chainMs = spec.chainFromMs(step.index)
        if (durations == null) return chainMs
        val laterMs = chainMs - step.spec.estimateMs
        val ownRatio = durations.ratiosOf(spec.queue, step.spec.count).median
        return (step.spec.estimateMs * ownRatio + laterMs * durations.ratiosOf(spec.queue).median).toLong()
    }

    /** Returns the share of the work of [steps], all steps of one occurrence, that is neither done nor running. */
    private fun waitingShareOf(steps: List<StepRun>): Double {
        val waiting = steps.sumOf { step -> workOf(step) * step.tasks.count { !it.isDone && it.run == null } }
        val total = steps.sumOf { workOf(it) * it.spec.count }
        return waiting / total
    }

    /** Returns the estimated work of one task of [step] in accelerator-equivalent ms, at least 1. */
    private fun workOf(step: StepRun): Double {
        val need = step.spec.need
        return maxOf(1, step.spec.estimateMs).toDouble() *
            (need.cpuMillis + need.accelerators.toDouble() * CORES_PER_ACCELERATOR * MILLIS_PER_CORE + 1)
    }

    private companion object {
        // Preempted runs stop within 0.9 s; an unused reservation expires soon after.
        const val RESERVATION_MS = 2_000L

        // Weight of an accelerator in the comparison of work.
        const val CORES_PER_ACCELERATOR = 8
        const val MILLIS_PER_CORE = 1_000

        // A job that ends after three times its objective has no value.
        const val LATE_FACTOR = 3
    }
}
