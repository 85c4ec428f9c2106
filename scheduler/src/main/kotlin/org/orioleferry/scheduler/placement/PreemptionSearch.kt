package org.orioleferry.scheduler.placement

import org.orioleferry.scheduler.model.Resources

/** Finds the cheapest runs to stop for a demand of the highest priority. */
internal class PreemptionSearch<V>(
    private val rooms: List<WorkerRoom>,
    private val victims: MutableList<Victim<V>>,
) {
    /** Null when no set of victims makes room for the whole demand. The victims that are chosen are not offered again. */
    fun <K> find(demand: Demand<K>): Preemption<K, V>? {
        if (victims.none { it.priority > demand.priority }) return null
        val usable = rooms.filter { accepts(demand, it) && !it.isTroubled }
        val near = usable.filter { demand.dataRack.isEmpty() || it.rack == demand.dataRack }
        val groups = if (demand.sameRack) near.groupBy { it.rack }.values.toList() else listOf(near)
        val best =
            groups.mapNotNull { within(demand, it) }.minByOrNull { it.victims.sumOf { victim -> victim.lost } }
                ?: return null
        victims.removeAll(best.victims.toSet())
        return Preemption(demand, best.workers, best.victims.map { it.key })
    }

    private fun <K> within(
        demand: Demand<K>,
        rooms: List<WorkerRoom>,
    ): Choice<V>? {
        val free = rooms.associateTo(HashMap()) { it.id to it.free }
        val chosen = ArrayList<Victim<V>>()
        val candidates =
            victims.filter { victim ->
                victim.priority > demand.priority &&
                    victim.workers.any { it in free }
            }
        val cheapest = candidates.sortedWith(compareBy({ -it.priority }, { it.lost / it.weight() })).toMutableList()
        while (true) {
            val workers = fill(demand, rooms, free)
            if (workers != null) return chosenAfterTrim(demand, rooms, chosen)
            val next = cheapest.removeFirstOrNull() ?: return null
            chosen += next
            next.workers.forEach { id -> free[id]?.let { free[id] = it + next.need } }
        }
    }

    /** The workers that are free without the victims that turn out not to be needed. */
    private fun <K> chosenAfterTrim(
        demand: Demand<K>,
        rooms: List<WorkerRoom>,
        chosen: List<Victim<V>>,
    ): Choice<V>? {
        val kept = trim(demand, rooms, chosen)
        return fill(demand, rooms, freeWithout(rooms, kept))?.let { Choice(it, kept) }
    }

    private fun freeWithout(
        rooms: List<WorkerRoom>,
        stopped: List<Victim<V>>,
    ): Map<String, Resources> {
        val free = rooms.associateTo(HashMap()) { it.id to it.free }
        stopped.forEach { victim -> victim.workers.forEach { id -> free[id]?.let { free[id] = it + victim.need } } }
        return free
    }

    /** Drops victims that the choice does not need. */
    private fun <K> trim(
        demand: Demand<K>,
        rooms: List<WorkerRoom>,
        chosen: List<Victim<V>>,
    ): List<Victim<V>> {
        val kept = chosen.toMutableList()
        chosen.sortedByDescending { it.lost }.forEach { victim ->
            if (fill(demand, rooms, freeWithout(rooms, kept - victim)) != null) kept -= victim
        }
        return kept
    }

    private fun <K> fill(
        demand: Demand<K>,
        rooms: List<WorkerRoom>,
        free: Map<String, Resources>,
    ): List<String>? {
        val workers = ArrayList<String>(demand.width)
        for (room in rooms.sortedWith(compareBy { it.trouble })) {
            val limit = tasksAllowed(demand, room)
            val count = minOf(demand.width - workers.size, free.getValue(room.id).holds(demand.need, maxOf(0, limit)))
            repeat(count) { workers += room.id }
            if (workers.size == demand.width) return workers
        }
        return null
    }

    private fun <K> tasksAllowed(
        demand: Demand<K>,
        room: WorkerRoom,
    ): Int = if (demand.maxPerWorker == 0) demand.width else demand.maxPerWorker - (demand.used[room.id] ?: 0)

    private fun Victim<V>.weight(): Long = 1L + workers.size * (need.accelerators * 8L + need.cpuMillis / 1_000)

    private class Choice<V>(
        val workers: List<String>,
        val victims: List<Victim<V>>,
    )
}
