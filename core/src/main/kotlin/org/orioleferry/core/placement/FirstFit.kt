package org.orioleferry.core.placement

import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.WorkspaceName

/** The order in which jobs are considered: urgent before routine, then by arrival. */
internal val waitingOrder: Comparator<WaitingJob> =
    compareBy({ it.urgency }, { it.submittedMs }, { it.jobId.value })

/** State of one pass, common to all policies: free space after reclaims in progress, quotas and the starts so far. */
internal class Pass(
    val fleet: FleetSnapshot,
) {
    val steps = StepCounter()
    val space = FreeSpace(fleet.workers, steps)
    val starts = mutableListOf<PlannedStart>()

    /** Workers whose free space changed in this pass, in the order of the changes. */
    val changedWorkers = mutableListOf<WorkerId>()
    val reclaims = mutableListOf<PlannedReclaim>()
    private val quotas = fleet.quotas
    private val reclaimBeneficiaries = fleet.reclaims.mapTo(HashSet()) { it.beneficiary }
    private val usedByWorkspace = HashMap<WorkspaceName, Int>()

    init {
        fleet.gangs.forEach {
            steps.add(1L + it.members.size)
            usedByWorkspace.merge(it.workspace, it.accelerators, Int::plus)
        }
        // A reclaim in progress counts for its beneficiary, which holds nothing yet.
        fleet.reclaims.forEach {
            usedByWorkspace.merge(
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
        job.jobId !in reclaimBeneficiaries &&
            (usedByWorkspace[job.workspace] ?: 0) + job.gang.accelerators <= (quotas[job.workspace] ?: Int.MAX_VALUE)

    fun start(
        job: WaitingJob,
        members: List<PlacementMember>,
    ) {
        take(members)
        chargeQuota(job)
        starts += PlannedStart(job.jobId, members)
    }

    /** Plans [reclaim] and holds its members for [job]. */
    fun reclaim(
        job: WaitingJob,
        reclaim: PlannedReclaim,
    ) {
        take(reclaim.members)
        chargeQuota(job)
        reclaims += reclaim
    }

    private fun take(members: List<PlacementMember>) {
        members.forEach {
            space.take(it.worker, it.accelerators)
            changedWorkers += it.worker
        }
    }

    fun toPlan(): PlacementPlan = PlacementPlan(starts, reclaims, steps.value)

    /** Counts the accelerators of [job] towards its workspace's quota. */
    private fun chargeQuota(job: WaitingJob) {
        usedByWorkspace.merge(job.workspace, job.gang.accelerators, Int::plus)
    }
}

/** First-fit placement: takes the first workers that fit, jobs by urgency and arrival, and ignores guarantees. */
public val firstFit: PlacementPolicy = { fleet, waiting ->
    val pass = Pass(fleet)
    val failedGangs = HashSet<Gang>()
    for (job in waiting.sortedWith(waitingOrder)) {
        pass.steps.add(1)
        if (job.gang in failedGangs || !pass.isEligible(job)) continue
        val members = pass.space.find(job.gang, FitOrder.FIRST) { it !in job.excludedWorkers }
        if (members != null) {
            pass.start(job, members)
        } else if (job.excludedWorkers.isEmpty()) {
            failedGangs += job.gang
        }
    }
    pass.toPlan()
}
