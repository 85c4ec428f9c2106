package org.orioleferry.scheduler.placement

import org.orioleferry.scheduler.model.Resources
import java.util.PriorityQueue

/**
 * Finds the cheapest runs to stop for a demand of the highest priority.
 *
 * Each worker offers the cheapest stops that make room for one more task; the cheapest offer is taken until the whole
 * demand fits. One search looks at each run a few times only, so its cost grows with workers and runs, not their product.
 */
internal class PreemptionSearch<V>(
    private val rooms: List<WorkerRoom>,
    victims: List<Victim<V>>,
    private val settings: PlannerSettings,
) {
    private val available = LinkedHashSet(victims)
    private val failed = ArrayList<Demand<*>>()
    private var searches = 0
    private val byWorker = HashMap<String, MutableList<Victim<V>>>()

    init {
        victims.forEach { victim ->
            victim.workers.distinct().forEach { byWorker.getOrPut(it) { ArrayList() } += victim }
        }
    }

    /** Null when no set of victims makes room for the whole demand. The victims that are chosen are not offered again. */
    fun <K> find(demand: Demand<K>): Preemption<K, V>? {
        if (available.none { it.priority > demand.priority } || failed.any { demand.isAtLeast(it) }) return null
        if (searches == settings.mostSearches) return null
        searches++
        val usable = rooms.filter { accepts(demand, it) && !it.isTroubled }
        val near = usable.filter { demand.dataRack.isEmpty() || it.rack == demand.dataRack }
        val groups = if (demand.sameRack) near.groupBy { it.rack }.values.toList() else listOf(near)
        val best = groups.mapNotNull { Search(demand, it).run() }.minByOrNull { it.cost }
        if (best == null) {
            failed += demand
            return null
        }
        available.removeAll(best.victims)
        val stopped = best.victims.filterNot { endsSoon(it) }
        return Preemption(demand, best.workers, stopped.map { it.key })
    }

    /** Whether a demand that got no room shows that this one gets none either: victims only become fewer in a pass. */
    private fun Demand<*>.isAtLeast(other: Demand<*>): Boolean =
        other.need.fitsIn(need) &&
            width >= other.width &&
            priority >= other.priority &&
            service == other.service &&
            label == other.label &&
            dataRack == other.dataRack &&
            // Limits per worker depend on where each step already runs.
            maxPerWorker == 0 &&
            other.maxPerWorker == 0 &&
            allowed == other.allowed &&
            (sameRack || !other.sameRack)

    // Waiting for a run that is about to end takes no longer than stopping it, and loses nothing.
    private fun endsSoon(victim: Victim<V>) = victim.remainingMs <= settings.stopMs

    private fun costOf(victim: Victim<V>): Long =
        when {
            endsSoon(victim) -> 0
            Rank.isUrgent(victim.priority) -> victim.lost * URGENT_WEIGHT
            else -> victim.lost
        }

    private class Choice<V>(
        val workers: List<String>,
        val victims: Set<Victim<V>>,
        val cost: Long,
    )

    private class Offer<V>(
        val room: WorkerRoom,
        val victims: List<Victim<V>>,
        val cost: Long,
    )

    private inner class Search(
        private val demand: Demand<*>,
        private val rooms: List<WorkerRoom>,
    ) {
        private val freed = HashMap<String, Resources>()
        private val chosen = LinkedHashSet<Victim<V>>()
        private val byId = rooms.associateBy { it.id }

        fun run(): Choice<V>? {
            val offers = PriorityQueue<Offer<V>>(compareBy({ it.cost }, { it.room.trouble }, { it.room.id }))
            rooms.forEach { room -> offerOf(room)?.let { offers += it } }
            var slots = rooms.sumOf { slotsIn(it) }
            while (slots < demand.width) {
                val offer = offers.poll() ?: return null
                val isCurrent = offer.victims.none { it in chosen }
                if (isCurrent) slots += take(offer)
                offerOf(offer.room)?.let { offers += it }
            }
            dropUnneeded(slots)
            return Choice(workers(), chosen, chosen.sumOf { costOf(it) })
        }

        /** Stops the victims of [offer] and returns the slots that this adds. */
        private fun take(offer: Offer<V>): Int =
            offer.victims.sumOf { victim ->
                chosen += victim
                change(victim) { free -> free + victim.need }
            }

        /** Changes the room of each worker that [victim] uses and returns the slots gained. */
        private fun change(
            victim: Victim<V>,
            update: (Resources) -> Resources,
        ): Int =
            victim.workers.mapNotNull { byId[it] }.sumOf { room ->
                val before = slotsIn(room)
                freed[room.id] = update(freed[room.id] ?: Resources())
                slotsIn(room) - before
            }

        /** The cheapest stops on [room] that make room for one more task. */
        private fun offerOf(room: WorkerRoom): Offer<V>? {
            val before = slotsIn(room)
            if (before >= limitOf(room)) return null
            val candidates =
                byWorker[room.id]
                    .orEmpty()
                    .filter { it.priority > demand.priority && it in available && it !in chosen }
                    .sortedWith(compareBy({ costOf(it) * 1.0 / it.weight() }, { -it.priority }))
            val added = ArrayList<Victim<V>>()
            var free = room.free + (freed[room.id] ?: Resources())
            for (victim in candidates) {
                added += victim
                free += neededOn(room, victim)
                if (slotsWith(room, free) > before) return offer(room, added, free, before)
            }
            return null
        }

        private fun offer(
            room: WorkerRoom,
            added: List<Victim<V>>,
            free: Resources,
            before: Int,
        ): Offer<V> {
            val kept = added.toMutableList()
            var left = free
            added.sortedByDescending { costOf(it) }.forEach { victim ->
                val without = left - neededOn(room, victim)
                if (slotsWith(room, without) > before) {
                    kept -= victim
                    left = without
                }
            }
            return Offer(room, kept, kept.sumOf { costOf(it) })
        }

        /** Spares victims without which the demand still fits. */
        private fun dropUnneeded(slots: Int) {
            var left = slots
            chosen.sortedByDescending { costOf(it) }.forEach { victim ->
                val gained = change(victim) { it - victim.need }
                if (left + gained >= demand.width) {
                    chosen -= victim
                    left += gained
                } else {
                    change(victim) { it + victim.need }
                }
            }
        }

        private fun workers(): List<String> {
            val workers = ArrayList<String>(demand.width)
            for (room in rooms.sortedBy { it.trouble }) {
                repeat(minOf(demand.width - workers.size, slotsIn(room))) { workers += room.id }
            }
            return workers
        }

        private fun slotsIn(room: WorkerRoom): Int =
            slotsWith(room, freed[room.id]?.let { room.free + it } ?: room.free)

        private fun slotsWith(
            room: WorkerRoom,
            free: Resources,
        ): Int = free.holds(demand.need, maxOf(0, limitOf(room)))

        private fun limitOf(room: WorkerRoom): Int =
            if (demand.maxPerWorker == 0) demand.width else demand.maxPerWorker - (demand.used[room.id] ?: 0)

        private fun neededOn(
            room: WorkerRoom,
            victim: Victim<V>,
        ): Resources {
            val count = victim.workers.count { it == room.id }
            return if (count == 1) victim.need else victim.need * count
        }
    }

    private companion object {
        // An urgent victim misses its objective, so urgent work is stopped only where nothing else makes room.
        const val URGENT_WEIGHT = 100
    }

    private fun Victim<V>.weight(): Long = 1L + workers.size * (need.accelerators * 8L + need.cpuMillis / 1_000)
}
