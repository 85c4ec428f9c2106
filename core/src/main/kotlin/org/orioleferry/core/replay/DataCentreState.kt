package org.orioleferry.core.replay

import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.placement.FleetSnapshot
import org.orioleferry.core.placement.PlacedGang
import org.orioleferry.core.placement.PlacementMember
import org.orioleferry.core.placement.PlacementWorker
import org.orioleferry.core.placement.PlannedReclaim
import org.orioleferry.core.placement.RunTimes
import org.orioleferry.core.placement.WaitingJob

/** A job in a replay, from its submission to its end. */
internal class TrackedJob(
    val id: JobId,
    val job: StreamJob,
    val jobClass: JobClass,
    val drainBoundMs: Long,
) {
    /** Run time in milliseconds that was kept at earlier stops. */
    var completedMs: Long = 0
    var firstStartMs: Long? = null
    var stops: Int = 0

    fun toWaiting(): WaitingJob =
        WaitingJob(
            id,
            job.workspace,
            job.jobClass,
            job.gang,
            jobClass.urgency,
            jobClass.preemptible,
            job.submittedMs,
        )

    fun toResult(
        end: ReplayEnd,
        endedMs: Long?,
    ): ReplayedJob = ReplayedJob(job, end, firstStartMs, endedMs, drainBoundMs, stops)
}

/** A gang that holds [members]. [stoppingSinceMs] is the time at which its checkpoint was requested. */
internal class RunningGang(
    val tracked: TrackedJob,
    val members: List<PlacementMember>,
    val startedMs: Long,
) {
    var stoppingSinceMs: Long? = null

    val endsMs: Long get() = startedMs + tracked.job.workMs - tracked.completedMs

    fun toPlaced(nowMs: Long): PlacedGang =
        PlacedGang(
            jobId = tracked.id,
            workspace = tracked.job.workspace,
            jobClass = tracked.job.jobClass,
            urgency = tracked.jobClass.urgency,
            isPreemptible = tracked.jobClass.preemptible,
            members = members,
            startedMs = startedMs,
            lostWorkMs = (nowMs - startedMs) * members.sumOf { it.accelerators },
            isStopping = stoppingSinceMs != null,
        )
}

/** Workers, gangs and observed run times of one data centre in a replay. */
internal class DataCentreState(
    private val configuration: Configuration,
    private val dataCentre: DataCentre,
    private val workers: List<PlacementWorker>,
) {
    val running = LinkedHashMap<JobId, RunningGang>()
    val reclaims = LinkedHashMap<JobId, PlannedReclaim>()
    private val free = workers.associateTo(HashMap()) { it.id to it.accelerators }
    private val runTimes = HashMap<JobClassName, ArrayDeque<Long>>()
    private val guarantees =
        configuration.workspaces.mapValues { (_, workspace) ->
            workspace.guarantees.filter { it.dataCentre == dataCentre }
        }
    private val quotas =
        configuration.workspaces
            .mapValues { (_, workspace) -> workspace.quotas.find { it.dataCentre == dataCentre }?.accelerators }
            .mapNotNull { (name, quota) -> quota?.let { name to it } }
            .toMap()

    val capacity: Int = workers.sumOf { it.accelerators }
    val used: Int get() = capacity - free.values.sum()
    val scattered: Int get() = workers.filter { freeOn(it.id) < it.accelerators }.sumOf { freeOn(it.id) }

    fun classOf(name: JobClassName): JobClass = configuration.classes[name] ?: JobClass(name)

    fun hasRoom(members: List<PlacementMember>): Boolean =
        members.groupBy { it.worker }.all { (worker, list) -> freeOn(worker) >= list.sumOf { it.accelerators } }

    fun start(
        tracked: TrackedJob,
        members: List<PlacementMember>,
        nowMs: Long,
    ): RunningGang {
        check(hasRoom(members)) { "the plan starts ${tracked.id} on accelerators that are in use" }
        check(
            members.sumOf { it.accelerators } == tracked.job.gang.accelerators,
        ) { "the plan starts ${tracked.id} on a different number of accelerators than its gang has" }
        members.forEach { free[it.worker] = freeOn(it.worker) - it.accelerators }
        tracked.firstStartMs = tracked.firstStartMs ?: nowMs
        return RunningGang(tracked, members, nowMs).also { running[tracked.id] = it }
    }

    fun release(id: JobId): RunningGang? =
        running.remove(id)?.also { gang ->
            gang.members.forEach { free[it.worker] = freeOn(it.worker) + it.accelerators }
        }

    fun recordRunTime(gang: RunningGang) {
        if (gang.tracked.stops > 0) return
        val list = runTimes.getOrPut(gang.tracked.job.jobClass) { ArrayDeque() }
        list.addLast(gang.tracked.job.workMs)
        if (list.size > MAX_RUN_TIME_SAMPLES) list.removeFirst()
    }

    fun snapshot(nowMs: Long): FleetSnapshot =
        FleetSnapshot(
            dataCentre = dataCentre,
            nowMs = nowMs,
            workers = workers.map { it.copy(free = freeOn(it.id)) },
            gangs = running.values.map { it.toPlaced(nowMs) },
            guarantees = guarantees,
            quotas = quotas,
            runTimes =
                runTimes.mapValues { (_, list) ->
                    val sorted = list.sorted()
                    RunTimes(sorted[sorted.size / 2], sorted[sorted.size * 9 / 10], sorted.size)
                },
            reclaims = reclaims.values.toList(),
        )

    /** The idle fleet with its quotas. A job that does not fit on it can never run. */
    fun idleFleet(): FleetSnapshot = FleetSnapshot(dataCentre, 0, workers, quotas = quotas)

    /** The fleet with [free] accelerators on each worker, without gangs, guarantees and quotas. */
    fun fleetWithFree(free: Map<WorkerId, Int>): FleetSnapshot =
        FleetSnapshot(dataCentre, 0, workers.map { it.copy(free = free.getValue(it.id)) })

    fun freeByWorker(): MutableMap<WorkerId, Int> = HashMap(free)

    private fun freeOn(worker: WorkerId): Int = free.getValue(worker)

    private companion object {
        const val MAX_RUN_TIME_SAMPLES = 200
    }
}
