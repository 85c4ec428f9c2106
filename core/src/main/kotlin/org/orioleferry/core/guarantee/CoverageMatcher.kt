package org.orioleferry.core.guarantee

import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.placement.FleetSnapshot
import org.orioleferry.core.placement.FreeSpace
import org.orioleferry.core.placement.PlacementMember
import org.orioleferry.core.placement.StepCounter

/** The use of [amount] accelerators of a guaranteed part by a covered gang. */
internal class PartUse(
    val part: BlockPart,
    val amount: Int,
)

/**
 * Covers gangs with guaranteed blocks of their workspaces and holds capacity on workers for parts of blocks. Changes
 * made while covering can be undone.
 */
internal class CoverageMatcher(
    fleet: FleetSnapshot,
    blocks: List<Block>,
    private val spare: FreeSpace,
    private val steps: StepCounter,
) {
    private val rackOf = fleet.workers.associate { it.id to it.rack }
    private val unusable = fleet.workers.filter { !it.isUsable }.mapTo(HashSet()) { it.id }
    private val blocksByShape =
        blocks.groupBy { it.workspace }.mapValues { (_, all) ->
            all.groupBy { it.adjacency to it.parts.map { part -> part.size } }.values.map { ArrayDeque(it) }
        }
    private val partsByWorker = HashMap<Pair<WorkspaceName, WorkerId>, MutableList<BlockPart>>()
    private val undoActions = ArrayDeque<() -> Unit>()

    /** Returns the parts of [workspace] that are held on the member's worker and have room for the member. */
    fun findHeldParts(
        workspace: WorkspaceName,
        member: PlacementMember,
    ): List<BlockPart> {
        steps.add(1)
        return partsByWorker[workspace to member.worker]
            .orEmpty()
            .filter { it.isHeld && it.unused >= member.accelerators }
    }

    fun usePart(
        part: BlockPart,
        amount: Int,
    ): PartUse {
        part.unused -= amount
        undoActions += { part.unused += amount }
        return PartUse(part, amount)
    }

    /**
     * Takes [times] times the member's accelerators from the spare capacity of its worker; a negative number gives them
     * back. Returns false when the worker has too little. On a worker that is not usable, changes nothing and returns
     * true.
     */
    fun takeSpare(
        member: PlacementMember,
        times: Int,
    ): Boolean {
        if (member.worker in unusable) return true
        if (spare.free(member.worker) < times * member.accelerators) return false
        spare.take(member.worker, times * member.accelerators)
        undoActions += { spare.take(member.worker, -times * member.accelerators) }
        return true
    }

    /** Holds capacity on [worker] for an unused part. */
    fun hold(
        part: BlockPart,
        worker: WorkerId,
    ) {
        val list = partsByWorker.getOrPut(part.block.workspace to worker) { mutableListOf() }
        if (worker !in unusable) spare.take(worker, part.size)
        list += part
        part.holder = worker
        part.isHeld = true
        undoActions += {
            if (worker !in unusable) spare.take(worker, -part.size)
            list -= part
            part.holder = null
            part.isHeld = false
        }
    }

    /**
     * Covers all [members] with guaranteed parts of [workspace] on the members' workers, or returns null. Prefers
     * a single block that takes the whole gang, with the fewest accelerators left over, so that blocks of other shapes
     * are not split.
     */
    fun coverGang(
        workspace: WorkspaceName,
        members: List<PlacementMember>,
    ): List<PartUse>? {
        val needed = members.sumOf { it.accelerators }
        val heldBlocks = members.flatMap { findHeldParts(workspace, it) }.map { it.block }.distinct()
        val unusedOfEachShape = blocksByShape[workspace].orEmpty().mapNotNull(::firstUnused)
        val blocks = heldBlocks + unusedOfEachShape
        return blocks
            .filter { block -> block.unused >= needed }
            .sortedBy { it.unused - needed }
            .firstNotNullOfOrNull { tryCover(workspace, members, listOf(it)) }
            ?: tryCover(workspace, members, blocks.filter { it.adjacency != Adjacency.RACK })
    }

    /**
     * Covers as many [members] as possible with guaranteed parts of [workspace], and takes spare capacity for the
     * others. Returns null when that does not fit.
     */
    fun coverPartially(
        workspace: WorkspaceName,
        members: List<PlacementMember>,
    ): List<PartUse>? {
        val heldBlocks = members.flatMap { findHeldParts(workspace, it) }.map { it.block }
        val blocks = (heldBlocks + blocksByShape[workspace].orEmpty().flatten()).distinct()
        val mark = undoActions.size
        val matched = members.map { matchMember(workspace, it, blocks) }
        val rest = members.zip(matched).filter { it.second == null }.map { it.first }
        val uses = matched.filterNotNull()
        val isFitting = rest.all { takeSpare(it, 1) } && uses.map { it.part.block }.distinct().all(::holdUnusedParts)
        if (!isFitting) undoTo(mark)
        return uses.takeIf { isFitting }
    }

    private fun firstUnused(queue: ArrayDeque<Block>): Block? {
        while (queue.firstOrNull()?.isUsed == true) queue.removeFirst()
        return queue.firstOrNull()
    }

    private fun tryCover(
        workspace: WorkspaceName,
        members: List<PlacementMember>,
        blocks: List<Block>,
    ): List<PartUse>? {
        val mark = undoActions.size
        val uses = members.mapNotNull { member -> matchMember(workspace, member, blocks) }
        val isComplete = uses.size == members.size && uses.map { it.part.block }.distinct().all(::holdUnusedParts)
        if (!isComplete) undoTo(mark)
        return uses.takeIf { isComplete }
    }

    /** Runs [change] and undoes all its effects when it returns false. */
    fun tryOrUndo(change: () -> Boolean): Boolean {
        val mark = undoActions.size
        val isKept = change()
        if (!isKept) undoTo(mark)
        return isKept
    }

    private fun undoTo(mark: Int) {
        while (undoActions.size > mark) undoActions.removeLast()()
    }

    private fun matchMember(
        workspace: WorkspaceName,
        member: PlacementMember,
        blocks: List<Block>,
    ): PartUse? {
        val eligible = blocks.filter { it.rack == null || it.rack == rackOf[member.worker] }
        val held = findHeldParts(workspace, member).filter { it.block in eligible }.minByOrNull { it.unused }
        val part = held ?: findMovablePart(member, eligible)?.also { move(it, member.worker) } ?: return null
        markUsed(part.block, member.worker)
        return usePart(part, member.accelerators)
    }

    private fun markUsed(
        block: Block,
        worker: WorkerId,
    ) {
        val rackBefore = block.rack
        val wasUsed = block.isUsed
        block.isUsed = true
        if (block.adjacency == Adjacency.RACK) block.rack = rackOf[worker]
        undoActions += {
            block.rack = rackBefore
            block.isUsed = wasUsed
        }
    }

    private fun findMovablePart(
        member: PlacementMember,
        blocks: List<Block>,
    ): BlockPart? {
        val room = if (member.worker in unusable) Int.MAX_VALUE else spare.free(member.worker)
        return blocks
            .asSequence()
            .flatMap { it.parts }
            .onEach { steps.add(1) }
            .filter { it.unused == it.size && it.size >= member.accelerators && it.size <= room }
            .minByOrNull { it.size }
    }

    private fun move(
        part: BlockPart,
        worker: WorkerId,
    ) {
        release(part)
        hold(part, worker)
    }

    private fun release(part: BlockPart) {
        val worker = part.holder ?: return
        val list = partsByWorker.getValue(part.block.workspace to worker)
        if (worker !in unusable) spare.take(worker, -part.size)
        list -= part
        part.holder = null
        part.isHeld = false
        undoActions += {
            if (worker !in unusable) spare.take(worker, part.size)
            list += part
            part.holder = worker
            part.isHeld = true
        }
    }

    /**
     * Holds the unused parts of a block of adjacency `rack` in the rack where another part of it is used; parts held
     * elsewhere move there. Returns false when the rack has no room for them.
     */
    private fun holdUnusedParts(block: Block): Boolean {
        if (block.adjacency != Adjacency.RACK) return true
        val rest = block.parts.filter { it.unused == it.size && rackOf[it.holder] != block.rack }
        rest.forEach(::release)
        val holders = spare.findParts(rest.map { it.size }, block.rack) ?: return false
        rest.zip(holders).forEach { (part, worker) -> hold(part, worker) }
        return true
    }
}
