package org.orioleferry.core.guarantee

import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.Guarantee
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.placement.PlacementWorker

/**
 * The part of a guaranteed block that has to be on one worker.
 *
 * @property unused accelerators of the part that the workspace does not use.
 * @property holder worker on which capacity is held for the part, or null while none is held.
 */
internal class BlockPart(
    val block: Block,
    val size: Int,
) {
    var unused: Int = size
    var holder: WorkerId? = null
    var isHeld: Boolean = false
}

/**
 * One guaranteed block.
 *
 * @property rack rack that a used block of adjacency `rack` is bound to, otherwise null.
 * @property isUsed whether a covered gang uses a part of the block.
 */
internal class Block(
    val workspace: WorkspaceName,
    val adjacency: Adjacency,
) {
    var rack: String? = null
    var isUsed: Boolean = false
    lateinit var parts: List<BlockPart>

    /** Accelerators of the block that the workspace does not use. */
    val unused: Int get() = parts.sumOf { it.unused }
}

/**
 * Splits guarantees into blocks, and each block into parts. A block that may span workers consists of parts of
 * [workerSize], the most common worker size, and one smaller remainder, so that gangs with several accelerators per
 * member fit into it too.
 */
internal fun splitIntoBlocks(
    guarantees: Map<WorkspaceName, List<Guarantee>>,
    workerSize: Int,
): List<Block> =
    guarantees.toSortedMap(compareBy { it.value }).flatMap { (workspace, list) ->
        list.flatMap { guarantee ->
            List(guarantee.count) {
                Block(workspace, guarantee.adjacency).also { block ->
                    block.parts = partSizesOf(guarantee, workerSize).map { size -> BlockPart(block, size) }
                }
            }
        }
    }

private fun partSizesOf(
    guarantee: Guarantee,
    workerSize: Int,
): List<Int> {
    if (guarantee.adjacency == Adjacency.WORKER || workerSize <= 0) return listOf(guarantee.accelerators)
    val rest = guarantee.accelerators % workerSize
    return List(guarantee.accelerators / workerSize) { workerSize } + listOf(rest).filter { it > 0 }
}

/**
 * The most common number of accelerators among [workers] that have any. Of several equally common numbers it is the
 * largest. Returns 0 when no worker has accelerators.
 */
internal fun mostCommonSizeOf(workers: List<PlacementWorker>): Int =
    workers
        .map { it.accelerators }
        .filter { it > 0 }
        .groupingBy { it }
        .eachCount()
        .maxWithOrNull(compareBy({ it.value }, { it.key }))
        ?.key ?: 0
