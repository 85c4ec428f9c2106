package org.orioleferry.scheduler.placement

import org.orioleferry.scheduler.model.Resources

/**
 * Tells which steps no single rack can hold, even an empty one, so that their wait for a rack would be in vain. The room of
 * the racks is determined once in a pass for all steps with the same requirements.
 *
 * @param workersOf returns the workers of a service.
 * @param remainingTaskLimit returns how many more tasks of a step may run on a worker.
 */
internal class RackWidths(
    private val workersOf: (service: String) -> List<WorkerResources>,
    private val remainingTaskLimit: (Demand<*>, WorkerResources) -> Int,
) {
    private val widestRacks = HashMap<Requirements, Int>()

    /** Whether no rack that [demand] may use has room for all of its tasks. */
    fun isWider(demand: Demand<*>): Boolean {
        val isShared = demand.allowed == null && demand.maxPerWorker == 0 && demand.trial == TrialPlacement.NONE
        val slots =
            if (isShared) widestRacks.getOrPut(Requirements(demand)) { widestRack(demand) } else widestRack(demand)
        return slots < demand.width
    }

    /** Returns how many tasks of [demand] the rack with most room for them takes when it is empty. */
    private fun widestRack(demand: Demand<*>): Int =
        workersOf(demand.service)
            .filter { isEligible(demand, it) && (demand.dataRack.isEmpty() || it.rack == demand.dataRack) }
            .groupBy { it.rack }
            .values
            .maxOfOrNull { rack -> rack.sumOf { slotsOn(it, demand) } } ?: 0

    private fun slotsOn(
        worker: WorkerResources,
        demand: Demand<*>,
    ): Int = minOf(worker.capacity.countFitting(demand.need, MAX_SLOTS), remainingTaskLimit(demand, worker))

    private data class Requirements(
        val service: String,
        val need: Resources,
        val label: String,
        val dataRack: String,
        val hasLatencyTarget: Boolean,
        val usesSpareCpu: Boolean,
    ) {
        constructor(demand: Demand<*>) : this(
            demand.service,
            demand.need,
            demand.label,
            demand.dataRack,
            demand.hasLatencyTarget,
            demand.usesSpareCpu,
        )
    }

    private companion object {
        // Far above the tasks that fit on any worker; keeps the sum over a rack within an Int.
        const val MAX_SLOTS = 100_000
    }
}
