package org.orioleferry.core.guarantee

import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.placement.FleetSnapshot
import org.orioleferry.core.placement.FreeSpace
import org.orioleferry.core.placement.PlacementMember
import org.orioleferry.core.placement.StepCounter

/** A part of a covered gang: the guaranteed part that it uses and how much of it. */
internal class Use(
    val chunk: Chunk,
    val amount: Int,
)

/** Matches running gangs with guaranteed blocks of their workspaces, and holds parts on workers. */
internal class Cover(
    fleet: FleetSnapshot,
    blocks: List<Block>,
    private val spare: FreeSpace,
    private val steps: StepCounter,
) {
    private val rackOf = fleet.workers.associate { it.id to it.rack }
    private val unusable = fleet.workers.filter { !it.isUsable }.mapTo(HashSet()) { it.id }
    private val fresh =
        blocks.groupBy { it.workspace }.mapValues { (_, all) ->
            all.groupBy { it.adjacency to it.chunks.map { chunk -> chunk.size } }.values.map { ArrayDeque(it) }
        }
    private val byWorker = HashMap<Pair<WorkspaceName, WorkerId>, MutableList<Chunk>>()
    private val undo = ArrayDeque<() -> Unit>()

    /** Held parts of [workspace] on the member's worker that have room for it. */
    fun heldAt(
        workspace: WorkspaceName,
        member: PlacementMember,
    ): List<Chunk> {
        steps.add(1)
        return byWorker[workspace to member.worker].orEmpty().filter { it.isHeld && it.left >= member.accelerators }
    }

    fun use(
        chunk: Chunk,
        amount: Int,
    ): Use {
        chunk.left -= amount
        undo += { chunk.left += amount }
        return Use(chunk, amount)
    }

    /** Takes the member's accelerators [times] from its worker; false when they are not there to take. */
    fun count(
        member: PlacementMember,
        times: Int,
    ): Boolean {
        if (member.worker in unusable) return true
        if (spare.free(member.worker) < times * member.accelerators) return false
        spare.take(member.worker, times * member.accelerators)
        undo += { spare.take(member.worker, -times * member.accelerators) }
        return true
    }

    /** Holds an unused part on [worker]. */
    fun hold(
        chunk: Chunk,
        worker: WorkerId,
    ) {
        val list = byWorker.getOrPut(chunk.block.workspace to worker) { mutableListOf() }
        if (worker !in unusable) spare.take(worker, chunk.size)
        list += chunk
        chunk.holder = worker
        chunk.isHeld = true
        undo += {
            if (worker !in unusable) spare.take(worker, -chunk.size)
            list -= chunk
            chunk.holder = null
            chunk.isHeld = false
        }
    }

    /**
     * Uses guaranteed parts of [workspace] for all [members] where they are, or returns null. One block that takes the
     * whole gang is preferred, the one with the least left over, so that blocks of another shape stay whole.
     */
    fun cover(
        workspace: WorkspaceName,
        members: List<PlacementMember>,
    ): List<Use>? {
        val needed = members.sumOf { it.accelerators }
        val present = members.flatMap { heldAt(workspace, it) }.map { it.block }.distinct()
        val untouched = fresh[workspace].orEmpty().mapNotNull(::firstFresh)
        val blocks = present + untouched
        return blocks
            .filter { block -> block.left >= needed }
            .sortedBy { it.left - needed }
            .firstNotNullOfOrNull { attempt(workspace, members, listOf(it)) }
            ?: attempt(workspace, members, blocks.filter { it.adjacency != Adjacency.RACK })
    }

    /** Uses guaranteed parts of [workspace] for as many [members] as possible and counts the others, or returns null. */
    fun coverPart(
        workspace: WorkspaceName,
        members: List<PlacementMember>,
    ): List<Use>? {
        val present = members.flatMap { heldAt(workspace, it) }.map { it.block }
        val blocks = (present + fresh[workspace].orEmpty().flatten()).distinct()
        val mark = undo.size
        val matched = members.map { match(workspace, it, blocks) }
        val rest = members.zip(matched).filter { it.second == null }.map { it.first }
        val taken = matched.filterNotNull()
        val isFitting = rest.all { count(it, 1) } && taken.map { it.chunk.block }.distinct().all(::holdRest)
        if (!isFitting) undoTo(mark)
        return taken.takeIf { isFitting }
    }

    private fun firstFresh(queue: ArrayDeque<Block>): Block? {
        while (queue.firstOrNull()?.isTouched == true) queue.removeFirst()
        return queue.firstOrNull()
    }

    private fun attempt(
        workspace: WorkspaceName,
        members: List<PlacementMember>,
        blocks: List<Block>,
    ): List<Use>? {
        val mark = undo.size
        val taken = members.mapNotNull { member -> match(workspace, member, blocks) }
        val isComplete = taken.size == members.size && taken.map { it.chunk.block }.distinct().all(::holdRest)
        if (!isComplete) undoTo(mark)
        return taken.takeIf { isComplete }
    }

    /** Runs [change], and takes back everything that it did when it returns false. */
    fun tryAll(change: () -> Boolean): Boolean {
        val mark = undo.size
        val isKept = change()
        if (!isKept) undoTo(mark)
        return isKept
    }

    private fun undoTo(mark: Int) {
        while (undo.size > mark) undo.removeLast()()
    }

    private fun match(
        workspace: WorkspaceName,
        member: PlacementMember,
        blocks: List<Block>,
    ): Use? {
        val near = blocks.filter { it.rack == null || it.rack == rackOf[member.worker] }
        val held = heldAt(workspace, member).filter { it.block in near }.minByOrNull { it.left }
        val chunk = held ?: movable(member, near)?.also { move(it, member.worker) } ?: return null
        touch(chunk.block, member.worker)
        return use(chunk, member.accelerators)
    }

    private fun touch(
        block: Block,
        worker: WorkerId,
    ) {
        val rackBefore = block.rack
        val wasTouched = block.isTouched
        block.isTouched = true
        if (block.adjacency == Adjacency.RACK) block.rack = rackOf[worker]
        undo += {
            block.rack = rackBefore
            block.isTouched = wasTouched
        }
    }

    private fun movable(
        member: PlacementMember,
        blocks: List<Block>,
    ): Chunk? {
        val room = if (member.worker in unusable) Int.MAX_VALUE else spare.free(member.worker)
        return blocks
            .asSequence()
            .flatMap { it.chunks }
            .onEach { steps.add(1) }
            .filter { it.left == it.size && it.size >= member.accelerators && it.size <= room }
            .minByOrNull { it.size }
    }

    private fun move(
        chunk: Chunk,
        worker: WorkerId,
    ) {
        release(chunk)
        hold(chunk, worker)
    }

    private fun release(chunk: Chunk) {
        val worker = chunk.holder ?: return
        val list = byWorker.getValue(chunk.block.workspace to worker)
        if (worker !in unusable) spare.take(worker, -chunk.size)
        list -= chunk
        chunk.holder = null
        chunk.isHeld = false
        undo += {
            if (worker !in unusable) spare.take(worker, chunk.size)
            list += chunk
            chunk.holder = worker
            chunk.isHeld = true
        }
    }

    /** Holds the unused parts of a block that has to stay in one rack, once a part of it is used there. */
    private fun holdRest(block: Block): Boolean {
        if (block.adjacency != Adjacency.RACK) return true
        val rest = block.chunks.filter { it.left == it.size && rackOf[it.holder] != block.rack }
        rest.forEach(::release)
        val holders = spare.findParts(rest.map { it.size }, block.rack) ?: return false
        rest.zip(holders).forEach { (chunk, worker) -> hold(chunk, worker) }
        return true
    }
}
