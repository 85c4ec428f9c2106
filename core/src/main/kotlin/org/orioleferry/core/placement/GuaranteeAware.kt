package org.orioleferry.core.placement

import org.orioleferry.core.guarantee.Entitlement
import org.orioleferry.core.guarantee.GuaranteeLedger
import org.orioleferry.core.guarantee.ReclaimPlanner
import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.WorkspaceName

/**
 * Guarantee-aware placement, which keeps every guarantee reclaimable. Jobs within their workspace's guarantee start on
 * the guaranteed parts or reclaim them from borrowers. Beyond the guarantee, preemptible jobs borrow anything that is
 * free, and other jobs use only accelerators that no guarantee needs.
 */
public val guaranteeAware: PlacementPolicy = { fleet, waiting -> GuaranteePass(fleet).run(waiting) }

/** Jobs of this urgency or a more urgent one may preempt routine work that no guarantee covers. */
private const val MAX_PREEMPTING_URGENCY = 2

/** Least difference in urgency for such a preemption, so that classes of similar urgency do not preempt each other. */
private const val MIN_URGENCY_GAP = 3

private class GuaranteePass(
    private val fleet: FleetSnapshot,
) {
    private val pass = Pass(fleet)
    private val ledger = GuaranteeLedger.of(fleet, pass.steps)
    private val workers = fleet.workers.associateBy { it.id }
    private val gangsByWorkspace = fleet.gangs.groupBy { it.workspace }
    private val estimates = Estimates(fleet)
    private val planner by lazy { ReclaimPlanner(fleet, pass.space, pass.steps) }
    private val open by lazy { UnguaranteedSpace() }
    private val releasedIds = mutableListOf<JobId>()
    private val failedShapes = HashSet<JobShape>()
    private var reservation: Reservation? = null

    fun run(waiting: List<WaitingJob>): PlacementPlan {
        for (job in waiting.sortedWith(waitingOrder)) {
            pass.steps.add(1)
            val shape = JobShape(job.workspace, job.jobClass, job.gang)
            if (shape in failedShapes || !pass.isEligible(job)) continue
            if (!place(job) && job.excludedWorkers.isEmpty()) failedShapes += shape
        }
        return pass.toPlan()
    }

    private fun place(job: WaitingJob): Boolean {
        val target = findTarget(job)
        val isPlaced = tryPlacements(job, target)
        releasedIds.forEach(ledger::restoreCoverage)
        releasedIds.clear()
        return isPlaced
    }

    private fun tryPlacements(
        job: WaitingJob,
        target: List<PlacementMember>?,
    ): Boolean =
        (target != null && startOnTarget(job, target)) ||
            startBeyondGuarantee(job) ||
            (target != null && reclaimGuarantee(job, target)) ||
            (job.urgency <= MAX_PREEMPTING_URGENCY && reclaimFromRoutine(job)) ||
            (!job.isPreemptible && startAcrossBlocks(job)) ||
            reserve(job)

    /**
     * Finds members on the workspace's own guaranteed parts, whether or not borrowers use them now. For a job that is
     * not preemptible, the parts of routine gangs of the same workspace are released first, since the next pass covers
     * such a job before them. Otherwise the job would split a larger block while a routine gang uses the matching one.
     */
    private fun findTarget(job: WaitingJob): List<PlacementMember>? {
        val gangs = if (job.isPreemptible) emptyList() else coveredRoutineGangs(job)
        gangs.forEach { ledger.releaseCoverage(it.jobId) }
        val found = findTargetIn(job, ledger.unusedEntitlements(job.workspace))
        if (found == null) gangs.forEach { ledger.restoreCoverage(it.jobId) } else releasedIds += gangs.map { it.jobId }
        return found
    }

    private fun coveredRoutineGangs(job: WaitingJob): List<PlacedGang> =
        gangsByWorkspace[job.workspace]
            .orEmpty()
            .onEach { pass.steps.add(1) }
            .filter { it.isPreemptible && it.urgency > job.urgency && ledger.isCovered(it.jobId) }

    private fun findTargetIn(
        job: WaitingJob,
        unusedEntitlements: List<Entitlement>,
    ): List<PlacementMember>? {
        val needed = job.gang.accelerators
        val whole =
            unusedEntitlements
                .filter { it.accelerators >= needed }
                .groupBy { it.accelerators }
                .toSortedMap()
                .values
                .map { blocks -> blocks.sortedBy { it.adjacency != job.gang.adjacency }.map { it.parts } }
        // The smallest blocks first, so that larger ones stay whole; among equals idle ones first, to stop no gang.
        val several = unusedEntitlements.filter { it.adjacency != Adjacency.RACK }.flatMap { it.parts }
        return (whole + listOf(listOf(several))).firstNotNullOfOrNull { blocks ->
            blocks.firstNotNullOfOrNull { findOn(it, job, isIdleOnly = true) }
                ?: blocks.firstNotNullOfOrNull { findOn(it, job, isIdleOnly = false) }
        }
    }

    private fun findOn(
        parts: List<PlacementMember>,
        job: WaitingJob,
        isIdleOnly: Boolean,
    ): List<PlacementMember>? {
        val held =
            parts.mapNotNull { part ->
                val worker = workers.getValue(part.worker)
                val free = if (isIdleOnly) pass.space.free(part.worker) else part.accelerators
                val isAllowed = worker.isUsable && part.worker !in job.excludedWorkers
                worker.copy(free = minOf(part.accelerators, free)).takeIf { isAllowed }
            }
        return FreeSpace(held, pass.steps).find(job.gang, FitOrder.TIGHTEST) { true }
    }

    private fun startOnTarget(
        job: WaitingJob,
        target: List<PlacementMember>,
    ): Boolean {
        val needed = target.groupBy({ it.worker }, { it.accelerators }).mapValues { it.value.sum() }
        if (needed.any { (worker, amount) -> pass.space.free(worker) < amount }) return false
        ledger.assignParts(job.workspace, job.jobId, target)
        pass.start(job, target)
        return true
    }

    /** Starts a preemptible job on any free accelerators, and any other job on those that no guarantee needs. */
    private fun startBeyondGuarantee(job: WaitingJob): Boolean {
        val space = if (job.isPreemptible) pass.space else open.refreshed()
        val members = pass.findTightestFit(job, space, reservation) ?: return false
        if (!job.isPreemptible) members.forEach { ledger.spare.take(it.worker, it.accelerators) }
        pass.start(job, members)
        return true
    }

    /** Stops borrowers on the target, on a part of equal size or on spare accelerators, whichever loses least work. */
    private fun reclaimGuarantee(
        job: WaitingJob,
        target: List<PlacementMember>,
    ): Boolean {
        val size = job.gang.acceleratorsPerMember
        val own = target.groupingBy { it.worker }.fold(0) { sum, member -> sum + member.accelerators }
        val equal = findEqualParts(job, target)
        val allowance = { worker: WorkerId ->
            val held = own[worker] ?: if (worker in equal) job.gang.accelerators else 0
            // A preemptible gang on spare accelerators is not covered, so its victims could stop it in turn.
            if (job.isPreemptible) held else held + ledger.spare.free(worker) / size * size
        }
        val used = { members: List<PlacementMember> -> if (members.all { it.worker in equal }) members else target }
        return startOrReclaim(job, own.keys + equal, used, allowance) {
            !ledger.isCovered(it.jobId) && canBeStoppedFor(it, job)
        }
    }

    /** Whether [gang] can be stopped for [job] and cannot then stop [job] again through the same guarantee. */
    private fun canBeStoppedFor(
        gang: PlacedGang,
        job: WaitingJob,
    ): Boolean = !job.isPreemptible || gang.workspace != job.workspace || gang.urgency > job.urgency

    /** Finds the workers with a block of a single part that is exactly as large as the one that [target] would use. */
    private fun findEqualParts(
        job: WaitingJob,
        target: List<PlacementMember>,
    ): Set<WorkerId> {
        val worker = target.map { it.worker }.distinct().singleOrNull() ?: return emptySet()
        val single = ledger.unusedEntitlements(job.workspace).mapNotNull { it.parts.singleOrNull() }
        val used = single.filter { it.worker == worker && it.accelerators >= job.gang.accelerators }
        val amount = used.minOfOrNull { it.accelerators } ?: return emptySet()
        return single.filter { it.accelerators == amount }.mapTo(HashSet()) { it.worker }
    }

    private fun reclaimFromRoutine(job: WaitingJob): Boolean {
        val isRoutine = { gang: PlacedGang ->
            !ledger.isCovered(gang.jobId) && gang.urgency >= job.urgency + MIN_URGENCY_GAP
        }
        return startOrReclaim(job, emptyList(), { emptyList() }, ledger.spare::free, isRoutine)
    }

    /**
     * Starts a gang that is larger than each guaranteed block of its workspace on these blocks and spare accelerators
     * together. Neither alone may ever have room for the gang, although it fits beside the other guarantees.
     */
    private fun startAcrossBlocks(job: WaitingJob): Boolean {
        if (job.gang.accelerators <= ledger.largestBlock(job.workspace)) return false
        val parts = ledger.unusedEntitlements(job.workspace).flatMap { it.parts }
        val own = parts.groupBy({ it.worker }, { it.accelerators }).mapValues { it.value.sum() }
        val isRoutine = { gang: PlacedGang ->
            job.urgency <= MAX_PREEMPTING_URGENCY &&
                !ledger.isCovered(gang.jobId) &&
                gang.urgency >= job.urgency + MIN_URGENCY_GAP
        }
        return startOrReclaim(job, own.keys, { it }, { ledger.spare.free(it) + (own[it] ?: 0) }, isRoutine)
    }

    /** Starts [job] at once if it needs no victims, or plans a reclaim for it; false when no members were found. */
    private fun startOrReclaim(
        job: WaitingJob,
        near: Collection<WorkerId>,
        target: (List<PlacementMember>) -> List<PlacementMember>,
        allowance: (WorkerId) -> Int,
        isVictim: (PlacedGang) -> Boolean,
    ): Boolean {
        val reclaim = planner.plan(job, near, allowance, isVictim) ?: return false
        ledger.assignParts(job.workspace, job.jobId, target(reclaim.members), reclaim.members)
        if (reclaim.victims.isEmpty()) pass.start(job, reclaim.members) else pass.reclaim(job, reclaim)
        return true
    }

    /** Reclaims workers from overrun borrowers for the first job that does not fit, or else reserves workers for it. */
    private fun reserve(job: WaitingJob): Boolean {
        if (reservation != null) return false
        val isOverrun = { gang: PlacedGang -> !ledger.isCovered(gang.jobId) && estimates.hasOverrun(gang) }
        if (startOrReclaim(job, emptyList(), { emptyList() }, ledger.spare::free, isOverrun)) return true
        reservation = ReservationPlanner(fleet, pass.space, pass.steps).reserve(job)
        return false
    }

    /** Free accelerators that no guarantee needs, kept up to date with the starts of the pass. */
    private inner class UnguaranteedSpace {
        private val space = FreeSpace(fleet.workers.map { it.copy(free = unguaranteedOn(it.id)) }, pass.steps)
        private var appliedChanges = pass.changedWorkers.size

        fun refreshed(): FreeSpace {
            for (worker in pass.changedWorkers.subList(appliedChanges, pass.changedWorkers.size)) {
                space.take(worker, space.free(worker) - unguaranteedOn(worker))
            }
            appliedChanges = pass.changedWorkers.size
            return space
        }

        private fun unguaranteedOn(worker: WorkerId): Int = minOf(pass.space.free(worker), ledger.spare.free(worker))
    }
}

/** What decides whether a job fits. Once a job has not fitted in a pass, jobs with an equal shape are skipped. */
private data class JobShape(
    val workspace: WorkspaceName,
    val jobClass: JobClassName,
    val gang: Gang,
)
