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
 * Keeps every guarantee reclaimable. Jobs within their workspace's guarantee start where it is held, or reclaim it from
 * borrowers; preemptible jobs beyond it borrow what is free; other jobs use only what no guarantee needs.
 */
public val guaranteeAware: PlacementPolicy = { fleet, waiting -> GuaranteePass(fleet).run(waiting) }

/** Jobs of this urgency or a more urgent one may have routine work stopped that no guarantee covers. */
private const val URGENT_LIMIT = 2

/** Least difference in urgency for that, so that classes close to each other do not stop one another in turns. */
private const val URGENCY_GAP = 3

private class GuaranteePass(
    private val fleet: FleetSnapshot,
) {
    private val pass = Pass(fleet)
    private val ledger = GuaranteeLedger.of(fleet, pass.steps)
    private val workers = fleet.workers.associateBy { it.id }
    private val gangsByWorkspace = fleet.gangs.groupBy { it.workspace }
    private val estimates = Estimates(fleet)
    private val planner by lazy { ReclaimPlanner(fleet, pass.space, pass.steps) }
    private val open by lazy { OpenSpace() }
    private val returned = mutableListOf<JobId>()
    private val failed = HashSet<Shape>()
    private var reservation: Reservation? = null

    fun run(waiting: List<WaitingJob>): PlacementPlan {
        for (job in waiting.sortedWith(waitingOrder)) {
            pass.steps.add(1)
            val shape = Shape(job.workspace, job.jobClass, job.gang)
            if (shape in failed || !pass.isEligible(job)) continue
            if (!place(job) && job.avoid.isEmpty()) failed += shape
        }
        return pass.toPlan()
    }

    private fun place(job: WaitingJob): Boolean {
        val target = target(job)
        val isPlaced = placeAt(job, target)
        returned.forEach(ledger::restore)
        returned.clear()
        return isPlaced
    }

    private fun placeAt(
        job: WaitingJob,
        target: List<PlacementMember>?,
    ): Boolean =
        (target != null && startOn(job, target)) ||
            startBeyond(job) ||
            (target != null && reclaim(job, target)) ||
            (job.urgency <= URGENT_LIMIT && reclaimRoutine(job)) ||
            (!job.isPreemptible && startAcross(job)) ||
            reserve(job)

    /**
     * Members on the workspace's own guaranteed parts, whether or not borrowers are there now. For a job that is not
     * preemptible, routine gangs of the same workspace give their parts back first, since the next pass covers such a
     * job before them; otherwise it would break up a larger block while a routine gang uses the matching one.
     */
    private fun target(job: WaitingJob): List<PlacementMember>? {
        val routine = if (job.isPreemptible) emptyList() else routineOf(job)
        routine.forEach { ledger.uncover(it.jobId) }
        val found = targetIn(job, ledger.entitlement(job.workspace))
        if (found == null) routine.forEach { ledger.restore(it.jobId) } else returned += routine.map { it.jobId }
        return found
    }

    private fun routineOf(job: WaitingJob): List<PlacedGang> =
        gangsByWorkspace[job.workspace]
            .orEmpty()
            .onEach { pass.steps.add(1) }
            .filter { it.isPreemptible && it.urgency > job.urgency && ledger.isCovered(it.jobId) }

    private fun targetIn(
        job: WaitingJob,
        entitlement: List<Entitlement>,
    ): List<PlacementMember>? {
        val needed = job.gang.accelerators
        val whole =
            entitlement
                .filter { it.accelerators >= needed }
                .groupBy { it.accelerators }
                .toSortedMap()
                .values
                .map { blocks -> blocks.sortedBy { it.adjacency != job.gang.adjacency }.map { it.parts } }
        // The smallest blocks first, so that larger ones stay whole; idle ones first among equals, to stop nothing.
        val several = entitlement.filter { it.adjacency != Adjacency.RACK }.flatMap { it.parts }
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
                val isAllowed = worker.isUsable && part.worker !in job.avoid
                worker.copy(free = minOf(part.accelerators, free)).takeIf { isAllowed }
            }
        return FreeSpace(held, pass.steps).find(job.gang, FitOrder.TIGHTEST) { true }
    }

    private fun startOn(
        job: WaitingJob,
        target: List<PlacementMember>,
    ): Boolean {
        val needed = target.groupBy({ it.worker }, { it.accelerators }).mapValues { it.value.sum() }
        if (needed.any { (worker, amount) -> pass.space.free(worker) < amount }) return false
        ledger.occupy(job.workspace, job.jobId, target)
        pass.start(job, target)
        return true
    }

    /** Starts a preemptible job on anything that is free, and any other job on what no guarantee needs. */
    private fun startBeyond(job: WaitingJob): Boolean {
        val space = if (job.isPreemptible) pass.space else open.refreshed()
        val members = pass.findTight(job, space, reservation) ?: return false
        if (!job.isPreemptible) members.forEach { ledger.spare.take(it.worker, it.accelerators) }
        pass.start(job, members)
        return true
    }

    /** Stops borrowers on the target, on a part of the same size, or on spare accelerators, whichever loses least. */
    private fun reclaim(
        job: WaitingJob,
        target: List<PlacementMember>,
    ): Boolean {
        val size = job.gang.acceleratorsPerMember
        val own = target.groupingBy { it.worker }.fold(0) { sum, member -> sum + member.accelerators }
        val equal = equalParts(job, target)
        val allowance = { worker: WorkerId ->
            val held = own[worker] ?: if (worker in equal) job.gang.accelerators else 0
            // A preemptible gang on spare accelerators is not covered, so that its victims could stop it in turn.
            if (job.isPreemptible) held else held + ledger.spare.free(worker) / size * size
        }
        val used = { members: List<PlacementMember> -> if (members.all { it.worker in equal }) members else target }
        return stopFor(job, own.keys + equal, used, allowance) { !ledger.isCovered(it.jobId) && isBelow(it, job) }
    }

    /** Whether [gang] may be stopped for [job] without being able to stop it in turn through the same guarantee. */
    private fun isBelow(
        gang: PlacedGang,
        job: WaitingJob,
    ): Boolean = !job.isPreemptible || gang.workspace != job.workspace || gang.urgency > job.urgency

    /** Workers that hold a block of one part which is exactly as large as the one that [target] would use. */
    private fun equalParts(
        job: WaitingJob,
        target: List<PlacementMember>,
    ): Set<WorkerId> {
        val worker = target.map { it.worker }.distinct().singleOrNull() ?: return emptySet()
        val single = ledger.entitlement(job.workspace).mapNotNull { it.parts.singleOrNull() }
        val used = single.filter { it.worker == worker && it.accelerators >= job.gang.accelerators }
        val amount = used.minOfOrNull { it.accelerators } ?: return emptySet()
        return single.filter { it.accelerators == amount }.mapTo(HashSet()) { it.worker }
    }

    private fun reclaimRoutine(job: WaitingJob): Boolean {
        val isRoutine = { gang: PlacedGang ->
            !ledger.isCovered(gang.jobId) && gang.urgency >= job.urgency + URGENCY_GAP
        }
        return stopFor(job, emptyList(), { emptyList() }, ledger.spare::free, isRoutine)
    }

    /**
     * Starts a gang that is larger than each guaranteed block of its workspace on those blocks and spare accelerators
     * together. Each of them alone may never have room for it, although it fits beside the other guarantees.
     */
    private fun startAcross(job: WaitingJob): Boolean {
        if (job.gang.accelerators <= ledger.largestBlock(job.workspace)) return false
        val parts = ledger.entitlement(job.workspace).flatMap { it.parts }
        val own = parts.groupBy({ it.worker }, { it.accelerators }).mapValues { it.value.sum() }
        val isRoutine = { gang: PlacedGang ->
            job.urgency <= URGENT_LIMIT && !ledger.isCovered(gang.jobId) && gang.urgency >= job.urgency + URGENCY_GAP
        }
        return stopFor(job, own.keys, { it }, { ledger.spare.free(it) + (own[it] ?: 0) }, isRoutine)
    }

    private fun stopFor(
        job: WaitingJob,
        near: Collection<WorkerId>,
        target: (List<PlacementMember>) -> List<PlacementMember>,
        allowance: (WorkerId) -> Int,
        isVictim: (PlacedGang) -> Boolean,
    ): Boolean {
        val reclaim = planner.plan(job, near, allowance, isVictim) ?: return false
        ledger.occupy(job.workspace, job.jobId, target(reclaim.members), reclaim.members)
        if (reclaim.victims.isEmpty()) pass.start(job, reclaim.members) else pass.reclaim(job, reclaim)
        return true
    }

    /** Keeps workers for the first job that does not fit, and takes them back from borrowers that have overrun. */
    private fun reserve(job: WaitingJob): Boolean {
        if (reservation != null) return false
        val isOverrun = { gang: PlacedGang -> !ledger.isCovered(gang.jobId) && estimates.hasOverrun(gang) }
        if (stopFor(job, emptyList(), { emptyList() }, ledger.spare::free, isOverrun)) return true
        reservation = ReservationPlanner(fleet, pass.space, pass.steps).reserve(job)
        return false
    }

    /** Free accelerators that no guarantee needs, kept up to date with the starts of the pass. */
    private inner class OpenSpace {
        private val space = FreeSpace(fleet.workers.map { it.copy(free = openOn(it.id)) }, pass.steps)
        private var seen = pass.changed.size

        fun refreshed(): FreeSpace {
            for (worker in pass.changed.subList(seen, pass.changed.size)) {
                space.take(worker, space.free(worker) - openOn(worker))
            }
            seen = pass.changed.size
            return space
        }

        private fun openOn(worker: WorkerId): Int = minOf(pass.space.free(worker), ledger.spare.free(worker))
    }
}

private data class Shape(
    val workspace: WorkspaceName,
    val jobClass: JobClassName,
    val gang: Gang,
)
