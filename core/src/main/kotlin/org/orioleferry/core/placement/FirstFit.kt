package org.orioleferry.core.placement

import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.WorkspaceName

/** The order in which jobs are considered: urgent before routine, then by arrival. */
internal val waitingOrder: Comparator<WaitingJob> =
    compareBy({ it.urgency }, { it.submittedMs }, { it.jobId.value })

/** State of one pass that all policies share: free space after reclaims in progress, quotas and the starts so far. */
internal class Pass(
    val fleet: FleetSnapshot,
) {
    val steps = StepCounter()
    val space = FreeSpace(fleet.workers, steps)
    val starts = mutableListOf<PlannedStart>()

    /** Workers whose free space changed in this pass, in the order of the changes. */
    val changed = mutableListOf<WorkerId>()
    val reclaims = mutableListOf<PlannedReclaim>()
    private val quotas = fleet.quotas
    private val reclaiming = fleet.reclaims.mapTo(HashSet()) { it.beneficiary }
    private val used = HashMap<WorkspaceName, Int>()

    init {
        fleet.gangs.forEach {
            steps.add(1L + it.members.size)
            used.merge(it.workspace, it.accelerators, Int::plus)
        }
        // A reclaim in progress counts for its beneficiary, which holds nothing yet.
        fleet.reclaims.forEach {
            used.merge(
                it.workspace,
                it.members.sumOf { member ->
                    member.accelerators
                },
                Int::plus,
            )
        }
        fleet.reclaims.forEach { reclaim -> reclaim.members.forEach { space.take(it.worker, it.accelerators) } }
    }

    /** Whether [job] may start now: within its quota and not already the beneficiary of a reclaim. */
    fun isEligible(job: WaitingJob): Boolean =
        job.jobId !in reclaiming &&
            (used[job.workspace] ?: 0) + job.gang.accelerators <= (quotas[job.workspace] ?: Int.MAX_VALUE)

    fun start(
        job: WaitingJob,
        members: List<PlacementMember>,
    ) {
        take(members)
        charge(job)
        starts += PlannedStart(job.jobId, members)
    }

    /** Holds the members of [reclaim] for [job]. */
    fun reclaim(
        job: WaitingJob,
        reclaim: PlannedReclaim,
    ) {
        take(reclaim.members)
        charge(job)
        reclaims += reclaim
    }

    private fun take(members: List<PlacementMember>) {
        members.forEach {
            space.take(it.worker, it.accelerators)
            changed += it.worker
        }
    }

    fun toPlan(): PlacementPlan = PlacementPlan(starts, reclaims, steps.value)

    /** Counts the accelerators of [job] towards its workspace's quota. */
    private fun charge(job: WaitingJob) {
        used.merge(job.workspace, job.gang.accelerators, Int::plus)
    }
}

/** Takes the first workers that fit, jobs in the order of urgency and arrival, without looking at guarantees. */
public val firstFit: PlacementPolicy = { fleet, waiting ->
    val pass = Pass(fleet)
    val failed = HashSet<Gang>()
    for (job in waiting.sortedWith(waitingOrder)) {
        pass.steps.add(1)
        if (job.gang in failed || !pass.isEligible(job)) continue
        val members = pass.space.find(job.gang, FitOrder.FIRST) { it !in job.avoid }
        if (members != null) {
            pass.start(job, members)
        } else if (job.avoid.isEmpty()) {
            failed += job.gang
        }
    }
    pass.toPlan()
}
