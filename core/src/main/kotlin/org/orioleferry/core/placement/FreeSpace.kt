package org.orioleferry.core.placement

import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.WorkerId
import java.util.TreeSet

/** Order in which workers that fit are chosen. */
internal enum class FitOrder {
    /** The first worker in the order of the snapshot. */
    FIRST,

    /** The worker with the fewest free accelerators. */
    TIGHTEST,
}

/**
 * Free accelerators of each worker, indexed by amount so that finding a worker does not visit the whole fleet.
 *
 * A search costs at most one step for each distinct amount, plus one for each worker passed over.
 */
internal class FreeSpace(
    workers: List<PlacementWorker>,
    private val steps: StepCounter = StepCounter(),
) {
    private val ids = workers.map { it.id }
    private val indexes = ids.withIndex().associate { (index, id) -> id to index }
    private val free = IntArray(workers.size) { if (workers[it].isUsable) workers[it].free.coerceAtLeast(0) else 0 }
    private val buckets = List((workers.maxOfOrNull { it.accelerators } ?: 0) + 1) { TreeSet<Int>() }
    private val rackNames = workers.map { it.rack }.distinct()
    private val racks =
        workers.indices
            .groupBy { workers[it].rack }
            .values
            .toList()
    private val rackOf =
        IntArray(workers.size).also { all ->
            racks.forEachIndexed { rack, list ->
                list.forEach {
                    all[it] =
                        rack
                }
            }
        }
    private val rackFree = IntArray(racks.size) { rack -> racks[rack].sumOf { free[it] } }
    private val racksByFree = TreeSet(compareBy<Int>({ rackFree[it] }, { it })).apply { addAll(racks.indices) }

    init {
        free.indices.forEach { buckets[free[it]].add(it) }
        steps.add(workers.size.toLong())
    }

    var total: Int = free.sum()
        private set

    fun free(worker: WorkerId): Int = indexes[worker]?.let { free[it] } ?: 0

    /** Takes [amount] accelerators of [worker], or releases them when negative. The free amount never drops below 0. */
    fun take(
        worker: WorkerId,
        amount: Int,
    ) {
        val index = indexes[worker] ?: return
        val left = (free[index] - amount).coerceIn(0, buckets.lastIndex)
        val rack = rackOf[index]
        steps.add(1)
        racksByFree.remove(rack)
        buckets[free[index]].remove(index)
        rackFree[rack] += left - free[index]
        total += left - free[index]
        free[index] = left
        buckets[left].add(index)
        racksByFree.add(rack)
    }

    /** Finds members for [gang] on allowed workers, or returns null. Does not take the accelerators. */
    fun find(
        gang: Gang,
        order: FitOrder,
        isAllowed: (WorkerId) -> Boolean,
    ): List<PlacementMember>? =
        when {
            gang.accelerators > total -> null
            gang.adjacency == Adjacency.WORKER -> findOnWorker(gang, order, isAllowed)
            gang.adjacency == Adjacency.RACK -> findInRack(gang, order, isAllowed)
            else -> findAnywhere(gang, order, isAllowed)
        }

    /** Finds a worker for a part of [amount] accelerators, or returns null. */
    fun findWorker(
        amount: Int,
        order: FitOrder,
    ): WorkerId? = candidates(amount, order).firstOrNull()?.let { ids[it] }

    /** Finds workers of one rack, or of [rack] only, that hold parts of all [sizes] at once, in that order, or null. */
    fun findParts(
        sizes: List<Int>,
        rack: String?,
    ): List<WorkerId>? {
        val needed = sizes.sum()
        return racksByFree
            .asSequence()
            .onEach { steps.add(1) }
            .filter { rackFree[it] >= needed && (rack == null || rackNames[it] == rack) }
            .firstNotNullOfOrNull { pack(sizes, racks[it]) }
    }

    private fun pack(
        sizes: List<Int>,
        workers: List<Int>,
    ): List<WorkerId>? {
        val left = workers.associateWithTo(HashMap()) { free[it] }
        return sizes.map { size ->
            steps.add(workers.size.toLong())
            val index = workers.filter { left.getValue(it) >= size }.minByOrNull { left.getValue(it) } ?: return null
            left[index] = left.getValue(index) - size
            ids[index]
        }
    }

    private fun findOnWorker(
        gang: Gang,
        order: FitOrder,
        isAllowed: (WorkerId) -> Boolean,
    ): List<PlacementMember>? {
        val index = candidates(gang.accelerators, order).firstOrNull { isAllowed(ids[it]) } ?: return null
        return List(gang.members) { PlacementMember(ids[index], gang.acceleratorsPerMember) }
    }

    private fun findInRack(
        gang: Gang,
        order: FitOrder,
        isAllowed: (WorkerId) -> Boolean,
    ): List<PlacementMember>? {
        val byOrder = if (order == FitOrder.FIRST) racks.indices.asSequence() else racksByFree.asSequence()
        return byOrder
            .onEach { steps.add(1) }
            .filter { rackFree[it] >= gang.accelerators }
            .firstNotNullOfOrNull { rack ->
                val inRack = racks[rack].asSequence().filter { isAllowed(ids[it]) }
                fill(gang, if (order == FitOrder.FIRST) inRack else inRack.sortedBy { free[it] })
            }
    }

    private fun findAnywhere(
        gang: Gang,
        order: FitOrder,
        isAllowed: (WorkerId) -> Boolean,
    ): List<PlacementMember>? {
        val allowed = candidates(gang.acceleratorsPerMember, order).filter { isAllowed(ids[it]) }
        return fill(gang, allowed)
    }

    private fun fill(
        gang: Gang,
        workers: Sequence<Int>,
    ): List<PlacementMember>? {
        val members = ArrayList<PlacementMember>(gang.members)
        for (index in workers) {
            steps.add(1)
            val fits = free[index] / gang.acceleratorsPerMember.coerceAtLeast(1)
            repeat(minOf(fits, gang.members - members.size)) {
                members += PlacementMember(ids[index], gang.acceleratorsPerMember)
            }
            if (members.size == gang.members) return members
        }
        return null
    }

    private fun candidates(
        amount: Int,
        order: FitOrder,
    ): Sequence<Int> =
        when (order) {
            FitOrder.TIGHTEST -> {
                (amount..buckets.lastIndex)
                    .asSequence()
                    .onEach { steps.add(1) }
                    .flatMap { buckets[it].asSequence() }
            }

            FitOrder.FIRST -> {
                generateSequence(firstAfter(amount, -1)) { firstAfter(amount, it) }
            }
        }

    private fun firstAfter(
        amount: Int,
        index: Int,
    ): Int? {
        steps.add(1L + buckets.lastIndex - amount.coerceAtMost(buckets.lastIndex))
        return (amount..buckets.lastIndex).mapNotNull { buckets[it].higher(index) }.minOrNull()
    }
}

/** Counts the elementary steps of a pass, a measure of cost that does not depend on the machine. */
internal class StepCounter {
    var value: Long = 0
        private set

    fun add(count: Long) {
        value += count
    }
}
