package org.orioleferry.core.guarantee

import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.Guarantee
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.placement.PlacementWorker

/**
 * A part of a guaranteed block that lies on one worker.
 *
 * @property left accelerators that the workspace does not use.
 * @property holder worker on which the part is held, null while it is not.
 */
internal class Chunk(
    val block: Block,
    val size: Int,
) {
    var left: Int = size
    var holder: WorkerId? = null
    var isHeld: Boolean = false
}

/** One guaranteed block. [isTouched] once work uses it; [rack] is then set for a block of adjacency `rack`. */
internal class Block(
    val workspace: WorkspaceName,
    val adjacency: Adjacency,
) {
    var rack: String? = null
    var isTouched: Boolean = false
    lateinit var chunks: List<Chunk>

    /** Accelerators of all parts that the workspace does not use. */
    val left: Int get() = chunks.sumOf { it.left }
}

/**
 * Splits guarantees into blocks and parts. A block that may span workers is made of whole workers of the most common
 * size and one smaller rest, so that gangs with several accelerators per member fit into it too.
 */
internal fun blocksOf(
    guarantees: Map<WorkspaceName, List<Guarantee>>,
    workerSize: Int,
): List<Block> =
    guarantees.toSortedMap(compareBy { it.value }).flatMap { (workspace, list) ->
        list.flatMap { guarantee ->
            List(guarantee.count) {
                Block(workspace, guarantee.adjacency).also { block ->
                    block.chunks = sizesOf(guarantee, workerSize).map { size -> Chunk(block, size) }
                }
            }
        }
    }

private fun sizesOf(
    guarantee: Guarantee,
    workerSize: Int,
): List<Int> {
    if (guarantee.adjacency == Adjacency.WORKER || workerSize <= 0) return listOf(guarantee.accelerators)
    val rest = guarantee.accelerators % workerSize
    return List(guarantee.accelerators / workerSize) { workerSize } + listOf(rest).filter { it > 0 }
}

/** The most common number of accelerators among [workers] that have any; the larger one of equals. */
internal fun commonSizeOf(workers: List<PlacementWorker>): Int =
    workers
        .map { it.accelerators }
        .filter { it > 0 }
        .groupingBy { it }
        .eachCount()
        .maxWithOrNull(compareBy({ it.value }, { it.key }))
        ?.key ?: 0
