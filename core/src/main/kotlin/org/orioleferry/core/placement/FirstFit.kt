package org.orioleferry.core.placement

import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.WorkspaceName

/** The order in which jobs are considered: urgent before routine, then by arrival. */
internal val waitingOrder: Comparator<WaitingJob> =
    compareBy({ it.urgency }, { it.submittedMs }, { it.jobId.value })

/** State of one pass that all policies share: free space after reclaims in progress, quotas and the starts so far. */
internal class Pass(
    fleet: FleetSnapshot,
) {
    val steps = StepCounter()
    val space = FreeSpace(fleet.workers, steps)
    val starts = mutableListOf<PlannedStart>()
    private val quotas = fleet.quotas
    private val used = HashMap<WorkspaceName, Int>()

    init {
        fleet.gangs.forEach {
            steps.add(1L + it.members.size)
            used.merge(it.workspace, it.accelerators, Int::plus)
        }
        fleet.reclaims.forEach { reclaim -> reclaim.members.forEach { space.take(it.worker, it.accelerators) } }
    }

    fun isWithinQuota(job: WaitingJob): Boolean =
        (used[job.workspace] ?: 0) + job.gang.accelerators <= (quotas[job.workspace] ?: Int.MAX_VALUE)

    fun start(
        job: WaitingJob,
        members: List<PlacementMember>,
    ) {
        members.forEach { space.take(it.worker, it.accelerators) }
        charge(job)
        starts += PlannedStart(job.jobId, members)
    }

    /** Counts the accelerators of [job] towards its workspace's quota. */
    fun charge(job: WaitingJob) {
        used.merge(job.workspace, job.gang.accelerators, Int::plus)
    }
}

/** Takes the first workers that fit, jobs in the order of urgency and arrival, without looking at guarantees. */
public val firstFit: PlacementPolicy = { fleet, waiting ->
    val pass = Pass(fleet)
    val reclaiming = fleet.reclaims.mapTo(HashSet()) { it.beneficiary }
    val failed = HashSet<Gang>()
    for (job in waiting.sortedWith(waitingOrder)) {
        pass.steps.add(1)
        if (job.jobId in reclaiming || job.gang in failed || !pass.isWithinQuota(job)) continue
        val members = pass.space.find(job.gang, FitOrder.FIRST) { it !in job.avoid }
        if (members != null) {
            pass.start(job, members)
        } else if (job.avoid.isEmpty()) {
            failed += job.gang
        }
    }
    PlacementPlan(pass.starts, steps = pass.steps.value)
}
