package org.orioleferry.core.guarantee

import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.placement.FitOrder
import org.orioleferry.core.placement.FleetSnapshot
import org.orioleferry.core.placement.FreeSpace
import org.orioleferry.core.placement.PlacedGang
import org.orioleferry.core.placement.PlacementMember
import org.orioleferry.core.placement.StepCounter

/**
 * Maintains the invariant of guarantees during a placement pass: if every borrower were stopped, all unused guaranteed
 * parts would fit at the same time, beside work that is not preemptible and work that its own workspace's guarantee
 * covers.
 *
 * The check is conservative: it packs the parts in decreasing size, each onto the worker with the tightest fit, and
 * counts only a packing found this way. An exact check is a bin packing problem, which is too costly for a pass. As a
 * consequence, work that is not preemptible occasionally waits although an exact packing exists.
 */
internal class GuaranteeLedger(
    fleet: FleetSnapshot,
    private val steps: StepCounter,
    coversPreemptibleFirst: Boolean = true,
) {
    private val blocks = splitIntoBlocks(fleet.guarantees, mostCommonSizeOf(fleet.workers))
    private val byWorkspace = blocks.groupBy { it.workspace }
    private val releasedUses = HashMap<JobId, List<PartUse>>()

    /** Accelerators of each worker that neither fixed gangs nor held parts need; borrowers may be using them. */
    val spare: FreeSpace = FreeSpace(fleet.workers.map { it.copy(free = it.accelerators) }, steps)
    private val coverage = CoverageMatcher(fleet, blocks, spare, steps)
    private val uses = HashMap<JobId, List<PartUse>>()

    /** Unused accelerators, by workspace, of the guaranteed parts for which no packing was found. */
    val shortfall: Map<WorkspaceName, Int>

    init {
        val victims = fleet.reclaims.flatMapTo(HashSet()) { it.victims }
        val gangs = fleet.gangs.filter { !it.isStopping && it.jobId !in victims }.sortedWith(coverOrder)
        val promised = fleet.reclaims.map { FixedGang(it.workspace, it.beneficiary, it.members) }
        val running = gangs.filter { !it.isPreemptible }.map { FixedGang(it.workspace, it.jobId, it.members) }
        val preemptible = gangs.filter { it.isPreemptible }
        (promised + running).forEach { gang -> gang.members.forEach { spare.take(it.worker, it.accelerators) } }
        (promised + running).filter { it.workspace in byWorkspace }.groupBy { it.workspace }.values.forEach { own ->
            if (!coverage.tryOrUndo { coverTogether(own) }) own.forEach { coverTogether(listOf(it)) }
        }
        if (coversPreemptibleFirst) preemptible.forEach(::coverInPlace)
        packParts()
        if (!coversPreemptibleFirst) preemptible.forEach(::coverInPlace)
        shortfall =
            byWorkspace
                .mapValues { (_, all) -> all.flatMap { it.parts }.filter { !it.isHeld }.sumOf { it.unused } }
                .filterValues { it > 0 }
    }

    /** Whether the guarantee of the gang's own workspace covers it, so that it is not stopped for another workspace. */
    fun isCovered(jobId: JobId): Boolean = jobId in uses

    /** Accelerators of the largest guaranteed block of [workspace], or [Int.MAX_VALUE], above any gang, without one. */
    fun largestBlock(workspace: WorkspaceName): Int =
        byWorkspace[workspace]?.maxOf { block -> block.parts.sumOf { it.size } } ?: Int.MAX_VALUE

    /** Returns, for each block of [workspace], its unused parts and the workers on which they are held. */
    fun unusedEntitlements(workspace: WorkspaceName): List<Entitlement> =
        byWorkspace[workspace].orEmpty().mapNotNull { block ->
            steps.add(1L + block.parts.size)
            val parts = block.parts.filter { it.isHeld && it.unused > 0 }
            val members = parts.map { PlacementMember(requireNotNull(it.holder), it.unused) }
            Entitlement(block.adjacency, members).takeIf { members.isNotEmpty() }
        }

    /**
     * Assigns the workspace's held parts on [target] to a gang whose members are placed on [members]. When the two
     * differ, the parts stay held for the rest of the pass, since the next pass may be unable to cover the gang on the
     * workers where it runs.
     */
    fun assignParts(
        workspace: WorkspaceName,
        jobId: JobId,
        target: List<PlacementMember>,
        members: List<PlacementMember> = target,
    ) {
        val taken =
            target.mapNotNull { member ->
                val part = coverage.findHeldParts(workspace, member).minByOrNull { it.unused }
                part?.let { coverage.usePart(it, member.accelerators) }
            }
        if (target != members || taken.size < members.size) members.forEach { spare.take(it.worker, it.accelerators) }
        if (taken.size == members.size) uses[jobId] = taken
    }

    /** Removes the coverage of the gang, which makes it a borrower, so that more urgent work can use the guarantee. */
    fun releaseCoverage(jobId: JobId) {
        val taken = uses.remove(jobId) ?: return
        taken.forEach { it.part.unused += it.amount }
        releasedUses[jobId] = taken
    }

    /** Reverts [releaseCoverage], unless other work uses the parts by now. */
    fun restoreCoverage(jobId: JobId) {
        val taken = releasedUses.remove(jobId) ?: return
        val needed = taken.groupBy({ it.part }, { it.amount })
        if (needed.any { (part, amounts) -> part.unused < amounts.sum() }) return
        taken.forEach { it.part.unused -= it.amount }
        uses[jobId] = taken
    }

    /**
     * Covers gangs whose accelerators are already taken from [spare]. They are given back first, since several gangs on
     * a worker may share a part that would not fit beside them. Returns false when the gangs that stay uncovered would
     * not fit beside the parts held for the others.
     */
    private fun coverTogether(gangs: List<FixedGang>): Boolean {
        gangs.forEach { gang -> gang.members.forEach { coverage.takeSpare(it, -1) } }
        val covered =
            gangs.associateWith { gang ->
                val isLarge = gang.members.sumOf { it.accelerators } > largestBlock(gang.workspace)
                coverage.coverGang(gang.workspace, gang.members)
                    ?: if (isLarge) coverage.coverPartially(gang.workspace, gang.members) else null
            }
        val rest = gangs.filter { covered[it] == null }
        val isFitting = rest.all { gang -> gang.members.all { coverage.takeSpare(it, 1) } }
        if (isFitting) covered.forEach { (gang, taken) -> if (taken != null) uses[gang.jobId] = taken }
        return isFitting
    }

    private fun coverInPlace(gang: PlacedGang) {
        coverage.coverGang(gang.workspace, gang.members)?.let { uses[gang.jobId] = it }
    }

    private fun packParts() {
        val (rackBlocks, otherBlocks) = blocks.partition { it.adjacency == Adjacency.RACK }
        rackBlocks
            .filter { block -> block.parts.any { !it.isHeld } }
            .sortedByDescending { block -> block.parts.sumOf { it.size } }
            .forEach { block ->
                val parts = block.parts.filter { !it.isHeld }
                val holders = spare.findParts(parts.map { it.size }, block.rack)
                holders?.let { parts.zip(it).forEach { (part, worker) -> coverage.hold(part, worker) } }
            }
        otherBlocks.flatMap { it.parts }.filter { !it.isHeld }.sortedByDescending { it.size }.forEach { part ->
            spare.findWorker(part.size, FitOrder.TIGHTEST)?.let { coverage.hold(part, it) }
        }
    }

    /** A gang that cannot be stopped: it is not preemptible, or a reclaim is in progress for it. */
    private class FixedGang(
        val workspace: WorkspaceName,
        val jobId: JobId,
        val members: List<PlacementMember>,
    )

    internal companion object {
        private val coverOrder: Comparator<PlacedGang> =
            compareBy({ it.urgency }, { it.startedMs }, { it.jobId.value })

        /**
         * Creates a ledger that covers running preemptible gangs on their workers before it packs the remaining parts.
         * If that leaves a shortfall, it also tries to pack the parts first and to cover those gangs only where the
         * packing stays possible, and returns the ledger with the smaller shortfall.
         */
        fun of(
            fleet: FleetSnapshot,
            steps: StepCounter,
        ): GuaranteeLedger {
            val ledger = GuaranteeLedger(fleet, steps)
            if (ledger.shortfall.isEmpty()) return ledger
            val packedFirst = GuaranteeLedger(fleet, steps, coversPreemptibleFirst = false)
            return listOf(ledger, packedFirst).minBy { it.shortfall.values.sum() }
        }
    }
}

/** The unused parts of one guaranteed block, with the workers on which they are held. */
internal data class Entitlement(
    val adjacency: Adjacency,
    val parts: List<PlacementMember>,
) {
    val accelerators: Int = parts.sumOf { it.accelerators }
}
