package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.placement.Demand
import org.orioleferry.scheduler.placement.Plan
import org.orioleferry.scheduler.placement.Planner
import org.orioleferry.scheduler.placement.PlannerSettings
import org.orioleferry.scheduler.placement.STABLE_WORKER_MS
import org.orioleferry.scheduler.placement.ServiceRank
import org.orioleferry.scheduler.placement.StopCost
import org.orioleferry.scheduler.placement.StopCosts
import org.orioleferry.scheduler.placement.TRIAL_MS
import org.orioleferry.scheduler.placement.TrialPlacement
import org.orioleferry.scheduler.placement.Victim
import org.orioleferry.scheduler.placement.WorkerResources
import org.orioleferry.scheduler.placement.WorkerSpeedEstimator
import org.orioleferry.scheduler.placement.countedAccelerators
import org.orioleferry.scheduler.placement.weightedCores

/** Runs [Planner] passes over the owner's state and executes the resulting plans. */
internal class Placement(
    private val dependencies: OwnerDependencies,
    private val ownership: Ownership,
    private val jobRegistry: JobRegistry,
    private val fleet: Fleet,
    private val orders: RunOrders,
    private val speeds: WorkerSpeedEstimator,
    private val tickets: TicketProvider,
    private val demands: Demands,
    private val forecast: RunForecast,
) {
    private val planner =
        Planner(
            PlannerSettings(
                stopDurationMs = dependencies.settings.maxStopMs,
                decidesByCost = dependencies.settings.shortage != null,
            ),
        )
    private val stopCosts = StopCosts(dependencies.settings.maxStopMs, dependencies.settings.shortage)
    private val urgentReserve = UrgentReserve(dependencies.settings.maxStopMs)
    private val clock = dependencies.clock
    private val usageLog = UsageLog(clock, dependencies.log, fleet::isEvacuated)
    private var hasWaiting = false

    /** Wall-clock time in ms at which the next scheduled occurrence is due. */
    private var nextDueMs = Long.MAX_VALUE

    /** Returns the time in ms after which a pass is needed even if nothing has changed. */
    fun nextTimerMs(): Long {
        val untilDue = if (nextDueMs == Long.MAX_VALUE) IDLE_PASS_PERIOD_MS else nextDueMs - clock.wallMs()
        return (if (hasWaiting) minOf(untilDue, WAITING_PASS_PERIOD_MS) else untilDue).coerceIn(1, IDLE_PASS_PERIOD_MS)
    }

    fun runPass() {
        val manifest = dependencies.manifest() ?: return
        if (!dependencies.evacuations.isConfirmed) {
            // Looks again soon, since nothing signals the confirmation.
            hasWaiting = true
            return
        }
        nextDueMs = Long.MAX_VALUE
        val ranks = Ranks(manifest, jobRegistry.activeJobs)
        val waiting =
            jobRegistry.activeJobs.toList().flatMap { job ->
                jobRegistry.guarded(job.id) { dueSteps(job).flatMap { demands.of(it, manifest, ranks) } }.orEmpty()
            }
        hasWaiting = waiting.isNotEmpty()
        if (waiting.isEmpty()) return
        val plan = planOf(waiting, ranks) ?: return
        plan.placed.forEach { (demand, workers) ->
            if (demand.trial == TrialPlacement.NONE) demand.key.step.reserved = emptyList()
            start(demand.key, workers)
        }
        plan.preemptions.forEach { preemption ->
            val step = preemption.demand.key.step
            step.reserved = preemption.workers.mapNotNull { fleet[it] }
            step.reservedAtMs = clock.monotonicMs()
            step.preemptedRuns = preemption.victims.sumOf { it.size }
            dependencies.log.record(
                SchedulerEvent.STEP_PREEMPTS,
                step.job.id,
                "step" to step.index,
                "victims" to preemption.victims.size,
                "runs" to step.preemptedRuns,
            )
            preemption.victims.flatten().forEach { run ->
                run.task.preemptions++
                orders.stop(run, "preempted by ${step.job.id}")
            }
        }
        usageLog.record(fleet.sessions, waiting.map { it.key.step }.distinct(), plan)
    }

    /** Returns the plan for [demands]. If the planner throws, sets aside the jobs for which it does and returns null. */
    private fun planOf(
        demands: List<Demand<WaitingTasks>>,
        ranks: Ranks,
    ): Plan<WaitingTasks, List<Run>>? {
        val workers = workerResources()
        val victims = victims(ranks)
        val reserved =
            urgentReserve.reservedAccelerators(
                fleet.sessions,
                clock.monotonicMs(),
            ) { !fleet.isEvacuated(it) }
        val inUse = acceleratorsInUse(ranks)
        return try {
            planner.plan(workers, demands, victims, reserved, inUse)
        } catch (e: RuntimeException) {
            dependencies.log.record(SchedulerEvent.INTERNAL_ERROR, "planner", "error" to e.stackTraceToString())
            demands.forEach { demand ->
                jobRegistry.guarded(demand.key.step.job.id) {
                    planner.plan(workers, listOf(demand), victims, reserved, inUse)
                }
            }
            null
        }
    }

    /** Returns the steps of [job] that are due, whose predecessors are done, and that have tasks to start. */
    private fun dueSteps(job: Job): List<StepRun> {
        if (!job.isLive) return emptyList()
        val schedule = job.accepted.spec.schedule
        val occurrences = if (schedule == null) listOf(0) else dueOccurrences(job)
        return occurrences.flatMap { number ->
            val steps = job.occurrence(number).orEmpty()
            steps.filter { step ->
                !step.isDone &&
                    step.spec.after.all { steps[it].isDone } &&
                    step.tasks.any(demands::isWaiting)
            }
        }
    }

    /** Returns the unfinished occurrences of [job] that are due, and lowers [nextDueMs] to the next one that is not. */
    private fun dueOccurrences(job: Job): List<Int> {
        val schedule = job.accepted.spec.schedule ?: return emptyList()
        val now = clock.wallMs()
        val open = (0 until schedule.occurrences).filterNot { job.isFinished(it) }
        open.firstOrNull { schedule.dueMs(it) > now }?.let { nextDueMs = minOf(nextDueMs, schedule.dueMs(it)) }
        return open.filter { schedule.dueMs(it) <= now }.take(job.maxOpenOccurrences)
    }

    private fun workerResources(): List<WorkerResources> =
        fleet.sessions.filter { fleet.isUsable(it) }.map { session ->
            val unproven = session.runs.values.filter { it.provenMs(clock.monotonicMs()) < TRIAL_MS }
            WorkerResources(
                id = session.id,
                service = session.listed.service,
                rack = session.listed.rack,
                labels = session.listed.labels,
                capacity = session.listed.capacity,
                free = session.free,
                consecutiveFailures = session.consecutiveFailures,
                speed = speeds.speedOf(session.id),
                isTroubled = speeds.isTroubled(session.id, clock.monotonicMs()),
                hasLatencyTarget = session.runs.values.any { it.task.step.spec.latencyTargetMs > 0 },
                usesSpareCpu = session.runs.values.any { it.task.step.spec.usesSpareCpu },
                runCount = session.runs.size,
                unprovenRunCount = unproven.size,
                isInTrial = unproven.any { it.isTrial },
                isNew = session.ageMs() < STABLE_WORKER_MS,
                isCold = session.isCold,
            )
        }

    /**
     * Returns the accelerators that runs hold, without those of lasting tasks, which make no room for lower ranks, and
     * without those of evacuated data centres, whose workers do not count in the shares of the ranks either.
     */
    private fun acceleratorsInUse(ranks: Ranks): Map<ServiceRank, Int> =
        fleet.sessions
            .filterNot(fleet::isEvacuated)
            .flatMap { it.runs.values }
            .filter { !it.task.step.spec.isLasting }
            .groupingBy { ServiceRank(it.session.listed.service, ranks.of(it.task.step.job)) }
            .fold(0) { sum, run -> sum + run.task.step.countedNeed.countedAccelerators }

    private fun victims(ranks: Ranks): List<Victim<List<Run>>> =
        fleet.sessions
            .flatMap { it.runs.values }
            .filter { it.state == RunState.RUNNING && it.task.step.job.isLive }
            .groupBy { it.task.step }
            .flatMap { (step, runs) -> stoppableOf(step, runs) }
            .map { group ->
                val step = group.first().task.step
                Victim(
                    group,
                    ranks.of(step.job),
                    step.countedNeed,
                    group.map { it.session.id },
                    group.sumOf { lostCoreMs(it) },
                    group.maxOf { forecast.victimRemainingMs(it) },
                    step.spec.isLasting,
                )
            }

    /** Returns the groups of [runs] of [step] that may be stopped in this pass, each of them as a whole. */
    private fun stoppableOf(
        step: StepRun,
        runs: List<Run>,
    ): List<List<Run>> {
        val groups = if (step.spec.isGang) listOf(runs) else runs.map { listOf(it) }
        if (!step.spec.isLasting || step.spec.maxUnavailable == 0) return groups
        val available = runs.filter { it.percent >= AT_WORK_PERCENT }
        val left = step.spec.maxUnavailable - (step.spec.count - available.size)
        return groups.filter { group -> group.all { it in available } && group.size <= left }.take(maxOf(0, left))
    }

    /** Returns the work that preempting [run] loses, in ms of one core, including the cost of its restart. */
    private fun lostCoreMs(run: Run): Long {
        val task = run.task
        val stop =
            StopCost(
                savesProgress = task.step.spec.savesProgress,
                isLasting = task.step.spec.isLasting,
                elapsedMs = clock.monotonicMs() - run.startedAtMs,
                sinceCheckpointMs = clock.monotonicMs() - maxOf(run.checkpointedAtMs, run.startedAtMs),
                preemptions = task.preemptions,
            )
        return stopCosts.lostMs(stop) * task.step.spec.need.weightedCores
    }

    private fun start(
        placed: WaitingTasks,
        workers: List<String>,
    ) {
        if (!ownership.canDecide) return
        val step = placed.step
        val isGangTrial = step.spec.isGang && placed.tasks.any { it.crashes.needsTrial }
        val isUrgent = dependencies.policyOf(step.job.accepted.spec).priority == 0
        val racks = workers.mapNotNullTo(HashSet()) { fleet[it]?.listed?.rack }
        val isAcrossRacks = step.spec.sameRack && racks.size > 1
        val gangAttempt = if (step.spec.isGang) step.tasks.maxOf { orders.nextAttempt(it) } else 0
        placed.tasks.filter(demands::isWaiting).zip(workers).forEach { (task, worker) ->
            val session = fleet[worker] ?: return@forEach
            val isRemoteFromData = step.spec.dataRack.isNotEmpty() && step.spec.dataRack != session.listed.rack
            val attempt = if (step.spec.isGang) gangAttempt else orders.nextAttempt(task)
            orders.start(
                task,
                session,
                attempt,
                isUrgent,
                isNearData = !isAcrossRacks && !isRemoteFromData,
                ticket = tickets.ticketOf(step, session),
                isTrial = isGangTrial || task.crashes.needsTrial,
            )
        }
    }

    private companion object {
        // Rules on waiting times change their outcome only as time passes, so a periodic pass is enough.
        const val WAITING_PASS_PERIOD_MS = 250L
        const val IDLE_PASS_PERIOD_MS = 5_000L

        // A lasting task is at work when it shows this progress.
        const val AT_WORK_PERCENT = 100
    }
}
