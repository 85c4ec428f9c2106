package org.orioleferry.scheduler.placement

import org.orioleferry.scheduler.model.Resources
import org.orioleferry.scheduler.model.ServiceWait

/** Workers of one [service] with the same [capacity] and [labels]; [held] is what their lasting runs hold in all. */
internal data class WorkerGroup(
    val service: String,
    val capacity: Resources,
    val labels: Set<String>,
    val count: Int,
    val held: HeldResources = HeldResources(),
)

/** Resources that are held until further notice, in thousandths of a core and accelerators. */
internal data class HeldResources(
    val cpuMillis: Long = 0,
    val accelerators: Long = 0,
)

/**
 * Open work with the same requirements.
 *
 * @property label label that a worker must have, or empty.
 * @property need resources of one task.
 * @property taskMs remaining time of all its tasks added up, in ms.
 * @property isLate whether it waits and can only end late, so that other work of its priority goes before it.
 * @property readyTasks number of its tasks that run or could run now; the others wait for earlier steps.
 */
internal data class OpenWorkClass(
    val service: String,
    val priority: Int,
    val label: String,
    val need: Resources,
    val taskMs: Double,
    val isLate: Boolean = false,
    val readyTasks: Long = Int.MAX_VALUE.toLong(),
)

/**
 * Forecasts how long new work waits for capacity, from the open work and the workers of each service.
 *
 * The wait of a priority is the open work of it and of all more urgent priorities, divided by the capacity. It is kept
 * at or below the true wait where the kinds of work differ, since the forecast serves to refuse work:
 *
 * - Nothing waits while the tasks that run or could run now leave capacity free, however long they take.
 * - Work that fits no worker counts nothing.
 * - More urgent work takes at most what its tasks can hold at a time. Tasks of 52 cores leave 24 of 128 to smaller ones.
 * - Work that fits on less than half of the workers takes at most the capacity of these.
 * - Every priority gets [minShare] of the service from the other work that is not urgent.
 */
internal class CapacityForecast(
    private val minShare: Double = PlannerSettings().minShare,
) {
    private enum class Resource(
        val amountOf: (Resources) -> Int,
        val heldOf: (HeldResources) -> Long,
    ) {
        ACCELERATORS({ it.accelerators }, { it.accelerators }),
        CPU({ it.cpuMillis }, { it.cpuMillis }),
    }

    /** Work in units of a resource x ms, and the most units that it holds at a time. */
    private class Load(
        val work: Double,
        val rate: Double,
    )

    /** Returns the waits above [minWaitMs] ms of all priorities with open work but the most urgent. */
    fun waitsOf(
        workers: List<WorkerGroup>,
        work: List<OpenWorkClass>,
        minWaitMs: Long = MIN_WAIT_MS,
    ): List<ServiceWait> {
        val workByService = work.groupBy { it.service }
        return workers.groupBy { it.service }.flatMap { (service, groups) ->
            val open = workByService[service].orEmpty().filter { item -> groups.any { slotsOf(item, it) > 0 } }
            open
                .map { it.priority }
                .filter { it > Rank.URGENT }
                .distinct()
                .mapNotNull { priority -> waitOf(service, priority, groups, open, minWaitMs) }
        }
    }

    private fun waitOf(
        service: String,
        priority: Int,
        groups: List<WorkerGroup>,
        open: List<OpenWorkClass>,
        minWaitMs: Long,
    ): ServiceWait? {
        val waitMs = { resource: Resource ->
            waitMs(resource, priority, groups, open).takeIf { it > minWaitMs } ?: 0
        }
        val wait = ServiceWait(service, priority, waitMs(Resource.ACCELERATORS), waitMs(Resource.CPU))
        return wait.takeIf { maxOf(it.acceleratorMs, it.cpuMs) > 0 }
    }

    private fun waitMs(
        resource: Resource,
        priority: Int,
        groups: List<WorkerGroup>,
        open: List<OpenWorkClass>,
    ): Long {
        val total = groups.sumOf { it.count.toDouble() * maxOf(0, resource.amountOf(it.capacity)) }
        val capacity = total - groups.sumOf { resource.heldOf(it.held).toDouble() }
        val relevant = open.filter { it.taskMs > 0 && resource.amountOf(it.need) > 0 }
        val ahead = relevant.filter { it.priority < priority }
        val own = relevant.filter { it.priority == priority && !it.isLate }
        if (ahead.isEmpty() && own.isEmpty()) return 0
        if (capacity <= 0) return MAX_WAIT_MS
        val wanted = (ahead + own).sumOf { it.readyTasks.toDouble() * resource.amountOf(it.need) }
        if (wanted < capacity) return 0
        val aheadLoads = ahead.map { Load(workOf(it, resource), mostHeld(it, resource, groups)) }
        val ownLoads = own.map { Load(workOf(it, resource), reachOf(it, resource, groups)) }
        val waitMs = drainMs(capacity, aheadLoads + ownLoads)
        val urgentWork = ahead.filter { it.priority <= Rank.URGENT }.sumOf { workOf(it, resource) }
        val shareWaitMs = urgentWork / capacity + ownLoads.sumOf { it.work } / (minShare * capacity)
        return minOf(waitMs, shareWaitMs, MAX_WAIT_MS.toDouble()).toLong()
    }

    /** Returns the work of [item] in units of [resource] x ms. A floating-point number does not overflow. */
    private fun workOf(
        item: OpenWorkClass,
        resource: Resource,
    ): Double = item.taskMs * resource.amountOf(item.need)

    /** Returns the units of [resource] that tasks of [item] hold when they fill all workers. */
    private fun mostHeld(
        item: OpenWorkClass,
        resource: Resource,
        groups: List<WorkerGroup>,
    ): Double = groups.sumOf { slotsOf(item, it).toDouble() * it.count * resource.amountOf(item.need) }

    /** Returns the units of [resource] of the workers on which [item] fits, or no limit if they are half of all. */
    private fun reachOf(
        item: OpenWorkClass,
        resource: Resource,
        groups: List<WorkerGroup>,
    ): Double {
        val fitting = groups.filter { slotsOf(item, it) > 0 }
        if (fitting.sumOf { it.count } * 2 >= groups.sumOf { it.count }) return Double.POSITIVE_INFINITY
        return fitting.sumOf { it.count.toDouble() * resource.amountOf(it.capacity) }
    }

    private fun slotsOf(
        item: OpenWorkClass,
        group: WorkerGroup,
    ): Int =
        if (item.label.isNotEmpty() && item.label !in group.labels) {
            0
        } else {
            group.capacity.countFitting(item.need, Int.MAX_VALUE)
        }

    /**
     * Returns the time in ms after which [loads] leave some of [capacity] free. A load that lasts longer than that only
     * takes its own rate.
     */
    private fun drainMs(
        capacity: Double,
        loads: List<Load>,
    ): Double {
        var left = loads.sumOf { it.work }
        var rate = capacity
        for (load in loads.sortedByDescending { it.work / it.rate }) {
            if (load.work * rate <= left * load.rate) break
            left -= load.work
            rate -= load.rate
        }
        return maxOf(0.0, left) / rate
    }

    private companion object {
        // Shorter waits decide about few jobs and would make the lease row longer.
        const val MIN_WAIT_MS = 5_000L

        // Longer than the objective of any queue.
        const val MAX_WAIT_MS = 24L * 3_600 * 1_000
    }
}
