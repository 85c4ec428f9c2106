package org.orioleferry.core.placement

import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.Guarantee
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.WorkspaceName

internal val testDataCentre = DataCentre("split-a")

/** Simulated fleet that carries out the plans of a policy without delay and checks that every placement is possible. */
internal class PlacementSimulation(
    private val policy: PlacementPolicy,
    var workers: List<PlacementWorker>,
    private val guarantees: Map<WorkspaceName, List<Guarantee>> = emptyMap(),
    private val runTimes: Map<JobClassName, RunTimes> = emptyMap(),
) {
    val gangs = LinkedHashMap<JobId, PlacedGang>()
    val waiting = LinkedHashMap<JobId, WaitingJob>()
    var nowMs = 0L
    var steps = 0L
    var preempted = 0
    private var submitted = 0

    fun submit(
        gang: Gang,
        workspace: String = "sheds",
        urgency: Int = 5,
        isPreemptible: Boolean = true,
        jobClass: String = "c$urgency",
    ): WaitingJob {
        val id = JobId.of(testDataCentre, "j%05d".format(submitted++))
        val name = JobClassName(jobClass)
        val job = WaitingJob(id, WorkspaceName(workspace), name, gang, urgency, isPreemptible, nowMs)
        waiting[id] = job
        return job
    }

    fun snapshot(): FleetSnapshot {
        val used = HashMap<WorkerId, Int>()
        gangs.values.flatMap { it.members }.forEach { used.merge(it.worker, it.accelerators, Int::plus) }
        val present = workers.map { it.copy(free = it.accelerators - (used[it.id] ?: 0)) }
        val aged = gangs.values.map { it.copy(lostWorkMs = (nowMs - it.startedMs) * it.accelerators) }
        return FleetSnapshot(testDataCentre, nowMs, present, aged, guarantees, runTimes = runTimes)
    }

    /** Runs one pass and carries out its reclaims at once. */
    fun pass(): PlacementPlan {
        val plan = policy(snapshot(), waiting.values.toList())
        steps = plan.steps
        plan.reclaims.flatMap { it.victims }.distinct().forEach { victim ->
            preempted++
            val gang = requireNotNull(gangs.remove(victim)) { "reclaim lists $victim, which is not running" }
            check(gang.isPreemptible) { "reclaim lists $victim, which is not preemptible" }
            val size = gang.members.first().accelerators
            waiting[victim] =
                WaitingJob(
                    victim,
                    gang.workspace,
                    gang.jobClass,
                    Gang(gang.members.size, size),
                    gang.urgency,
                    true,
                    nowMs,
                )
        }
        plan.starts.forEach { start(it.jobId, it.members) }
        plan.reclaims.forEach { start(it.beneficiary, it.members) }
        return plan
    }

    private fun start(
        jobId: JobId,
        members: List<PlacementMember>,
    ) {
        val job = requireNotNull(waiting.remove(jobId)) { "the plan starts $jobId, which is not waiting" }
        checkShape(job, members)
        val freeByWorker = snapshot().workers.associate { it.id to it.free }
        members.groupBy { it.worker }.forEach { (worker, all) ->
            check(all.sumOf { it.accelerators } <= freeByWorker.getValue(worker)) {
                "$jobId needs more accelerators on $worker than are free"
            }
        }
        gangs[jobId] = PlacedGang(jobId, job.workspace, job.jobClass, job.urgency, job.isPreemptible, members, nowMs)
    }

    private fun checkShape(
        job: WaitingJob,
        members: List<PlacementMember>,
    ) {
        val racks = workers.associate { it.id to it.rack }
        check(members.size == job.gang.members) { "the plan starts $job with ${members.size} members" }
        check(members.all { it.accelerators == job.gang.acceleratorsPerMember }) {
            "the plan starts $job with members of a different size"
        }
        val spread =
            when (job.gang.adjacency) {
                Adjacency.WORKER -> members.map { it.worker }.distinct().size
                Adjacency.RACK -> members.map { racks[it.worker] }.distinct().size
                Adjacency.DATA_CENTRE -> 1
            }
        check(spread == 1) { "members of $job violate its adjacency: $members" }
    }
}

internal fun fleetOf(
    count: Int,
    accelerators: Int = 8,
    perRack: Int = 6,
): List<PlacementWorker> =
    List(count) { PlacementWorker(WorkerId("w%04d".format(it)), "rack-${it / perRack}", accelerators) }
