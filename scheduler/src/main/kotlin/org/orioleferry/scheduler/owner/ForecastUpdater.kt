package org.orioleferry.scheduler.owner

import kotlinx.coroutines.delay
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.model.ServiceWait
import org.orioleferry.scheduler.now
import org.orioleferry.scheduler.placement.AdmissionPolicy
import org.orioleferry.scheduler.placement.CapacityForecast
import org.orioleferry.scheduler.placement.HeldResources
import org.orioleferry.scheduler.placement.OpenWorkClass
import org.orioleferry.scheduler.placement.WorkerGroup
import org.orioleferry.scheduler.store.Rows

/** Computes the forecast of the waits at each service, which the renewals of the ownership write to the lease row. */
internal class ForecastUpdater(
    private val dependencies: OwnerDependencies,
    private val ownership: Ownership,
    private val jobRegistry: JobRegistry,
    private val fleet: Fleet,
) {
    private val clock = dependencies.clock
    private val forecast = CapacityForecast()

    /** Updates the forecast until cancelled. */
    suspend fun run() {
        while (true) {
            val beganMs = clock.monotonicMs()
            update()
            val tookMs = clock.monotonicMs() - beganMs
            delay(maxOf(PERIOD_MS, tookMs * MIN_PAUSE_FACTOR))
        }
    }

    private fun update() {
        val computedAt = clock.now()
        val waits =
            try {
                forecast.waitsOf(workerGroups(), openWork())
            } catch (e: RuntimeException) {
                // Placement does not need the forecast, and without one every job is accepted.
                dependencies.log.record(
                    SchedulerEvent.INTERNAL_ERROR,
                    dependencies.settings.instance,
                    "in" to "forecast",
                    "error" to e.stackTraceToString(),
                )
                emptyList()
            }
        ownership.forecast = ComputedForecast(boundedWaits(waits), computedAt)
    }

    /** Counts unclaimed workers as well, since a new owner claims them one after another. */
    private fun workerGroups(): List<WorkerGroup> =
        fleet.sessions
            .filter { it.isListed && !it.listed.isDraining && !fleet.isEvacuated(it) }
            .groupBy { Triple(it.listed.service, it.listed.capacity, it.listed.labels) }
            .map { (kind, workers) ->
                val lasting = workers.flatMap { it.runs.values }.filter { it.task.step.spec.isLasting }
                val held =
                    HeldResources(
                        lasting.sumOf {
                            it.task.step.countedNeed.cpuMillis
                                .toLong()
                        },
                        lasting.sumOf {
                            it.task.step.countedNeed.accelerators
                                .toLong()
                        },
                    )
                WorkerGroup(kind.first, kind.second, kind.third, workers.size, held)
            }

    private fun openWork(): List<OpenWorkClass> {
        val amounts = HashMap<OpenWorkClass, OpenAmount>()
        jobRegistry.activeJobs.filter { it.isLive }.forEach { job ->
            val spec = job.accepted.spec
            val service = dependencies.manifest()?.queue(spec.queue)?.service ?: spec.service
            val priority = dependencies.policyOf(spec).priority
            job.openSteps.filter { !it.isDone && !it.spec.isLasting }.forEach { step ->
                val running = OpenWorkClass(service, priority, step.spec.label, step.countedNeed, 0.0)
                val waiting = running.copy(isLate = isLate(step))
                val isReady = step.spec.after.all { job.steps(step.occurrence)[it].isDone }
                step.tasks.filter { !it.isDone && !isElsewhere(it) }.forEach { task ->
                    val amount = amounts.getOrPut(if (task.run == null) waiting else running) { OpenAmount() }
                    amount.taskMs += remainingMs(task)
                    if (isReady) amount.readyTasks++
                }
            }
        }
        return amounts.map { (kind, amount) -> kind.copy(taskMs = amount.taskMs, readyTasks = amount.readyTasks) }
    }

    private class OpenAmount(
        var taskMs: Double = 0.0,
        var readyTasks: Long = 0,
    )

    /** Whether [task] runs on a worker that takes no new work, so that its end frees nothing. */
    private fun isElsewhere(task: Task): Boolean {
        val session = task.run?.session ?: return false
        return session.listed.isDraining || fleet.isEvacuated(session)
    }

    /**
     * Whether [step] can only end late even if it starts now and takes half of the estimate. The planner places such work
     * after new work of its priority.
     */
    private fun isLate(step: StepRun): Boolean {
        val accepted = step.job.accepted
        val spec = accepted.spec
        val beginMs = spec.schedule?.dueMs(step.occurrence) ?: accepted.acceptedMs
        val objectiveMs = jobRegistry.objectiveMsOf(step.job)
        return clock.wallMs() - beginMs + AdmissionPolicy.shortestMs(spec.chainFromMs(step.index)) > objectiveMs
    }

    /** Returns the remaining time of [task] in ms; 0 while it may still run for an earlier owner. */
    private fun remainingMs(task: Task): Double {
        val estimateMs = task.step.spec.estimateMs
        if (task.unresolvedWorker.isNotEmpty()) return 0.0
        val run = task.run ?: return estimateMs.toDouble()
        // A run that is being stopped loses what it did, unless it saves progress.
        if (run.state == RunState.STOPPING && !task.step.spec.savesProgress) return estimateMs.toDouble()
        val now = clock.monotonicMs()
        val measuredMs = run.remainingMs(now)
        val leftMs = if (measuredMs == Long.MAX_VALUE) estimateMs - (now - run.startedAtMs) else measuredMs
        return maxOf(0, leftMs).toDouble()
    }

    private companion object {
        // Leaves the slowest follower of the lease row 2.5 s of the age up to which the forecast is used.
        const val PERIOD_MS = 400L

        // Limits the updates to 5% of the owner's thread.
        const val MIN_PAUSE_FACTOR = 20
    }
}

/** Returns those of [waits] that fit into [maxBytes] bytes of the lease row, the longest first. */
internal fun boundedWaits(
    waits: List<ServiceWait>,
    maxBytes: Int = MAX_FORECAST_BYTES,
): List<ServiceWait> {
    var left = maxBytes
    return waits.sortedByDescending { maxOf(it.acceleratorMs, it.cpuMs) }.filter { wait ->
        val bytes =
            Rows.json
                .encodeToString(ServiceWait.serializer(), wait)
                .encodeToByteArray()
                .size + 1
        (bytes <= left).also { if (it) left -= bytes }
    }
}

// About 25 pairs of a service and a priority. Each instance reads the lease row once or twice a second.
private const val MAX_FORECAST_BYTES = 2_048
