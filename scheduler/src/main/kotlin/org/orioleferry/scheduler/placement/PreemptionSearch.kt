package org.orioleferry.scheduler.placement

import org.orioleferry.scheduler.model.Resources
import java.util.PriorityQueue

/**
 * Finds the cheapest runs to stop for a demand of the highest priority, by a greedy search.
 *
 * For each worker the search determines the cheapest stops that free one more slot, and selects the cheapest of these
 * options until the whole demand fits. One search looks at each run only a few times, so its cost grows with the number
 * of workers and of runs, not with their product.
 */
internal class PreemptionSearch<V>(
    private val workers: List<WorkerResources>,
    victims: List<Victim<V>>,
    private val settings: PlannerSettings,
    private val pass: PlacementPass,
) {
    private val available = LinkedHashSet(victims)
    private val failedDemands = ArrayList<Demand<*>>()

    /** Demands whose cheapest preemption cost more than their budget, with that cost. */
    private val costlyDemands = ArrayList<Pair<Demand<*>, Long>>()
    private var searches = 0
    private val victimsByWorker = HashMap<String, MutableList<Victim<V>>>()

    init {
        victims.forEach { victim ->
            victim.workers.distinct().forEach { victimsByWorker.getOrPut(it) { ArrayList() } += victim }
        }
    }

    /**
     * Returns the preemption for [demand], or null when no set of victims frees enough slots for the whole demand or
     * the pass has used up its searches. Victims that are selected are not considered for later demands.
     */
    fun <K> find(demand: Demand<K>): Preemption<K, V>? {
        if (demand.preemptionBudgetCoreMs <= 0) return null
        if (available.none { demand.mayPreempt(it) } || failedDemands.any { demand.isAtLeastAsHardAs(it) }) return null
        if (costlyDemands.any { (other, cost) ->
                cost > demand.preemptionBudgetCoreMs && demand.isAtLeastAsHardAs(other)
            }
        ) {
            return null
        }
        if (searches >= settings.maxVictimSearches && !demand.hasToStart) return null
        searches++
        val usable = workers.filter { isEligible(demand, it) && !it.isTroubled }
        val nearData = usable.filter { demand.dataRack.isEmpty() || it.rack == demand.dataRack }
        val groups =
            when {
                pass.isWiderThanRacks(demand) -> listOf(usable)
                demand.sameRack -> nearData.groupBy { it.rack }.values.toList()
                else -> listOf(nearData)
            }
        val best = groups.mapNotNull { Search(demand, it).run() }.minByOrNull { it.cost }
        if (best == null) {
            failedDemands += demand
            return null
        }
        if (best.cost > demand.preemptionBudgetCoreMs) {
            costlyDemands += demand to best.cost
            return null
        }
        available.removeAll(best.victims)
        val stopped = best.victims.filterNot { endsSoon(it) }
        return Preemption(demand, best.workers, stopped.map { it.key })
    }

    /**
     * Whether this demand is at least as hard to place as [other], so that it must fail as well once [other] has
     * failed. This holds because the set of available victims only shrinks during a pass.
     */
    private fun Demand<*>.isAtLeastAsHardAs(other: Demand<*>): Boolean =
        other.need.fitsIn(need) &&
            width >= other.width &&
            rank >= other.rank &&
            service == other.service &&
            label == other.label &&
            dataRack == other.dataRack &&
            // With a limit per worker, the free slots also depend on where the tasks of each step already run.
            maxPerWorker == 0 &&
            other.maxPerWorker == 0 &&
            allowed == other.allowed &&
            (sameRack || !other.sameRack) &&
            pass.isWiderThanRacks(this) == pass.isWiderThanRacks(other)

    // Others may use guaranteed accelerators only while they are idle, also for tasks that last.
    private fun Demand<*>.mayPreempt(victim: Victim<V>): Boolean =
        victim.rank > rank && (!victim.isLasting || rank == Rank.GUARANTEED)

    // Waiting for a run that is about to end takes no longer than stopping it, and discards no work.
    private fun endsSoon(victim: Victim<V>) = victim.remainingMs <= settings.stopDurationMs

    private fun costOf(victim: Victim<V>): Long =
        when {
            endsSoon(victim) -> 0
            Rank.isUrgent(victim.rank) -> victim.lostWorkCoreMs * URGENT_COST_FACTOR
            else -> victim.lostWorkCoreMs
        }

    private class Selection<V>(
        val workers: List<String>,
        val victims: Set<Victim<V>>,
        val cost: Long,
    )

    private class StopOption<V>(
        val worker: WorkerResources,
        val victims: List<Victim<V>>,
        val cost: Long,
    )

    private inner class Search(
        private val demand: Demand<*>,
        private val workers: List<WorkerResources>,
    ) {
        private val freedByWorker = HashMap<String, Resources>()
        private val chosen = LinkedHashSet<Victim<V>>()
        private val workersById = workers.associateBy { it.id }

        fun run(): Selection<V>? {
            val options =
                PriorityQueue<StopOption<V>>(
                    compareBy({ it.cost }, { it.worker.consecutiveFailures }, { it.worker.id }),
                )
            workers.forEach { worker -> cheapestOption(worker)?.let { options += it } }
            var slots = workers.sumOf { slotsIn(it) }
            while (slots < demand.width) {
                val option = options.poll() ?: return null
                // An option is outdated once another option has selected one of its victims.
                val isCurrent = option.victims.none { it in chosen }
                if (isCurrent) slots += select(option)
                cheapestOption(option.worker)?.let { options += it }
            }
            dropUnneededVictims(slots)
            return Selection(assignedWorkers(), chosen, chosen.sumOf { costOf(it) })
        }

        /** Adds the victims of [option] to the selection and returns the slots gained. */
        private fun select(option: StopOption<V>): Int =
            option.victims.sumOf { victim ->
                chosen += victim
                updateFreed(victim) { free -> free + victim.need }
            }

        /** Updates the freed resources of each worker that [victim] uses and returns the slots gained. */
        private fun updateFreed(
            victim: Victim<V>,
            update: (Resources) -> Resources,
        ): Int =
            victim.workers.mapNotNull { workersById[it] }.sumOf { worker ->
                val before = slotsIn(worker)
                freedByWorker[worker.id] = update(freedByWorker[worker.id] ?: Resources())
                slotsIn(worker) - before
            }

        /** Returns the cheapest stops on [worker] that free a slot for one more task, or null if there are none. */
        private fun cheapestOption(worker: WorkerResources): StopOption<V>? {
            val before = slotsIn(worker)
            if (before >= slotLimit(worker)) return null
            val candidates =
                victimsByWorker[worker.id]
                    .orEmpty()
                    .filter { demand.mayPreempt(it) && it in available && it !in chosen }
                    .sortedWith(compareBy({ costOf(it) * 1.0 / it.sizeInCores() }, { -it.rank }))
            val added = ArrayList<Victim<V>>()
            var free = worker.free + (freedByWorker[worker.id] ?: Resources())
            for (victim in candidates) {
                added += victim
                free += resourcesOn(worker, victim)
                if (slotsWith(worker, free) > before) return withoutUnneeded(worker, added, free, before)
            }
            return null
        }

        private fun withoutUnneeded(
            worker: WorkerResources,
            added: List<Victim<V>>,
            free: Resources,
            before: Int,
        ): StopOption<V> {
            val kept = added.toMutableList()
            var left = free
            added.sortedByDescending { costOf(it) }.forEach { victim ->
                val without = left - resourcesOn(worker, victim)
                if (slotsWith(worker, without) > before) {
                    kept -= victim
                    left = without
                }
            }
            return StopOption(worker, kept, kept.sumOf { costOf(it) })
        }

        /** Removes victims without which the demand still fits from the selection, the most expensive first. */
        private fun dropUnneededVictims(slots: Int) {
            var left = slots
            chosen.sortedByDescending { costOf(it) }.forEach { victim ->
                val gained = updateFreed(victim) { it - victim.need }
                if (left + gained >= demand.width) {
                    chosen -= victim
                    left += gained
                } else {
                    updateFreed(victim) { it + victim.need }
                }
            }
        }

        private fun assignedWorkers(): List<String> {
            val assigned = ArrayList<String>(demand.width)
            for (worker in workers.sortedBy { it.consecutiveFailures }) {
                repeat(minOf(demand.width - assigned.size, slotsIn(worker))) { assigned += worker.id }
            }
            return assigned
        }

        private fun slotsIn(worker: WorkerResources): Int =
            slotsWith(worker, freedByWorker[worker.id]?.let { worker.free + it } ?: worker.free)

        private fun slotsWith(
            worker: WorkerResources,
            free: Resources,
        ): Int = free.countFitting(demand.need, maxOf(0, slotLimit(worker)))

        private fun slotLimit(worker: WorkerResources): Int =
            minOf(demand.width, pass.remainingTaskLimit(demand, worker))

        private fun resourcesOn(
            worker: WorkerResources,
            victim: Victim<V>,
        ): Resources {
            val count = victim.workers.count { it == worker.id }
            return if (count == 1) victim.need else victim.need * count
        }
    }

    private companion object {
        // A preempted urgent run misses its objective, so its lost work weighs more: urgent work is stopped only where
        // no other work frees resources, or only at a much higher cost.
        const val URGENT_COST_FACTOR = 100
    }

    private fun Victim<V>.sizeInCores(): Long = 1L + workers.size * (need.accelerators * 8L + need.cpuMillis / 1_000)
}
