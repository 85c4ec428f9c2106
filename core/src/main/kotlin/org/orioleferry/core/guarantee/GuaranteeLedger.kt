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
 * Keeps the invariant of guarantees during a pass: if every borrower were stopped, all unused guaranteed parts could be
 * held at once, in addition to work that is not preemptible and work that its own workspace's guarantee covers.
 *
 * The check is conservative: it packs the parts largest first onto the tightest worker and takes a found packing as the
 * proof. An exact check is bin packing, which is too costly for a pass; the price is that work that is not preemptible
 * is now and then kept waiting although an exact packing exists.
 */
internal class GuaranteeLedger(
    fleet: FleetSnapshot,
    private val steps: StepCounter,
    prefersPresent: Boolean = true,
) {
    private val blocks = blocksOf(fleet.guarantees, commonSizeOf(fleet.workers))
    private val byWorkspace = blocks.groupBy { it.workspace }
    private val uncovered = HashMap<JobId, List<Use>>()

    /** Accelerators of each worker that neither fixed work nor a held part needs; borrowers may use them meanwhile. */
    val spare: FreeSpace = FreeSpace(fleet.workers.map { it.copy(free = it.accelerators) }, steps)
    private val cover = Cover(fleet, blocks, spare, steps)
    private val uses = HashMap<JobId, List<Use>>()

    /** Accelerators of guaranteed parts that no packing was found for, for each workspace. */
    val shortfall: Map<WorkspaceName, Int>

    init {
        val victims = fleet.reclaims.flatMapTo(HashSet()) { it.victims }
        val gangs = fleet.gangs.filter { !it.isStopping && it.jobId !in victims }.sortedWith(coverOrder)
        val promised = fleet.reclaims.map { FixedGang(it.workspace, it.beneficiary, it.members) }
        val running = gangs.filter { !it.isPreemptible }.map { FixedGang(it.workspace, it.jobId, it.members) }
        val preemptible = gangs.filter { it.isPreemptible }
        (promised + running).forEach { gang -> gang.members.forEach { spare.take(it.worker, it.accelerators) } }
        (promised + running).filter { it.workspace in byWorkspace }.groupBy { it.workspace }.values.forEach { own ->
            if (!cover.tryAll { coverTogether(own) }) own.forEach { coverTogether(listOf(it)) }
        }
        if (prefersPresent) preemptible.forEach(::coverPresent)
        pack()
        if (!prefersPresent) preemptible.forEach(::coverPresent)
        shortfall =
            byWorkspace
                .mapValues { (_, all) -> all.flatMap { it.chunks }.filter { !it.isHeld }.sumOf { it.left } }
                .filterValues { it > 0 }
    }

    /** Whether the workspace's own guarantee covers the gang, so that it is not stopped for another workspace. */
    fun isCovered(jobId: JobId): Boolean = jobId in uses

    /** Accelerators of the largest guaranteed block of [workspace], or a number above any gang when it has none. */
    fun largestBlock(workspace: WorkspaceName): Int =
        byWorkspace[workspace]?.maxOf { block -> block.chunks.sumOf { it.size } } ?: Int.MAX_VALUE

    /** For each block of [workspace] its unused parts and the workers on which they are held. */
    fun entitlement(workspace: WorkspaceName): List<Entitlement> =
        byWorkspace[workspace].orEmpty().mapNotNull { block ->
            steps.add(1L + block.chunks.size)
            val parts = block.chunks.filter { it.isHeld && it.left > 0 }
            val members = parts.map { PlacementMember(requireNotNull(it.holder), it.left) }
            Entitlement(block.adjacency, members).takeIf { members.isNotEmpty() }
        }

    /**
     * Uses the workspace's held parts at [target] for a gang whose members go to [members]. When those lie elsewhere, the
     * parts stay held for the rest of the pass, since the next pass may be unable to cover the gang where it is.
     */
    fun occupy(
        workspace: WorkspaceName,
        jobId: JobId,
        target: List<PlacementMember>,
        members: List<PlacementMember> = target,
    ) {
        val taken =
            target.mapNotNull { member ->
                val chunk = cover.heldAt(workspace, member).minByOrNull { it.left }
                chunk?.let { cover.use(it, member.accelerators) }
            }
        if (target != members || taken.size < members.size) members.forEach { spare.take(it.worker, it.accelerators) }
        if (taken.size == members.size) uses[jobId] = taken
    }

    /** Makes the gang a borrower, so that its workspace can use the guarantee for more urgent work. */
    fun uncover(jobId: JobId) {
        val taken = uses.remove(jobId) ?: return
        taken.forEach { it.chunk.left += it.amount }
        uncovered[jobId] = taken
    }

    /** Takes back [uncover], unless other work uses the parts meanwhile. */
    fun restore(jobId: JobId) {
        val taken = uncovered.remove(jobId) ?: return
        val needed = taken.groupBy({ it.chunk }, { it.amount })
        if (needed.any { (chunk, amounts) -> chunk.left < amounts.sum() }) return
        taken.forEach { it.chunk.left -= it.amount }
        uses[jobId] = taken
    }

    /**
     * Covers work that is counted already. It is taken out first, since several gangs on a worker may share a part that
     * has no room beside them. Returns false when what is not covered would not fit beside the parts held for the rest.
     */
    private fun coverTogether(gangs: List<FixedGang>): Boolean {
        gangs.forEach { gang -> gang.members.forEach { cover.count(it, -1) } }
        val covered =
            gangs.associateWith { gang ->
                val isLarge = gang.members.sumOf { it.accelerators } > largestBlock(gang.workspace)
                cover.cover(gang.workspace, gang.members)
                    ?: if (isLarge) cover.coverPart(gang.workspace, gang.members) else null
            }
        val rest = gangs.filter { covered[it] == null }
        val isFitting = rest.all { gang -> gang.members.all { cover.count(it, 1) } }
        if (isFitting) covered.forEach { (gang, taken) -> if (taken != null) uses[gang.jobId] = taken }
        return isFitting
    }

    private fun coverPresent(gang: PlacedGang) {
        cover.cover(gang.workspace, gang.members)?.let { uses[gang.jobId] = it }
    }

    private fun pack() {
        val (inRack, single) = blocks.partition { it.adjacency == Adjacency.RACK }
        inRack
            .filter { block -> block.chunks.any { !it.isHeld } }
            .sortedByDescending { block -> block.chunks.sumOf { it.size } }
            .forEach { block ->
                val parts = block.chunks.filter { !it.isHeld }
                val holders = spare.findParts(parts.map { it.size }, block.rack)
                holders?.let { parts.zip(it).forEach { (part, worker) -> cover.hold(part, worker) } }
            }
        single.flatMap { it.chunks }.filter { !it.isHeld }.sortedByDescending { it.size }.forEach { part ->
            spare.findWorker(part.size, FitOrder.TIGHTEST)?.let { cover.hold(part, it) }
        }
    }

    private class FixedGang(
        val workspace: WorkspaceName,
        val jobId: JobId,
        val members: List<PlacementMember>,
    )

    internal companion object {
        private val coverOrder: Comparator<PlacedGang> =
            compareBy({ it.urgency }, { it.startedMs }, { it.jobId.value })

        /**
         * Covers running gangs where they are. When that leaves no packing for other parts, parts are packed first,
         * and running gangs are covered only where that does not break the packing.
         */
        fun of(
            fleet: FleetSnapshot,
            steps: StepCounter,
        ): GuaranteeLedger {
            val ledger = GuaranteeLedger(fleet, steps)
            if (ledger.shortfall.isEmpty()) return ledger
            val packedFirst = GuaranteeLedger(fleet, steps, prefersPresent = false)
            return listOf(ledger, packedFirst).minBy { it.shortfall.values.sum() }
        }
    }
}

/** Unused parts of one guaranteed block on the workers that hold them. */
internal data class Entitlement(
    val adjacency: Adjacency,
    val parts: List<PlacementMember>,
) {
    val accelerators: Int = parts.sumOf { it.accelerators }
}
