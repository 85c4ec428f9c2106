package org.orioleferry.scheduler.placement

import org.orioleferry.scheduler.model.Resources
import kotlin.math.roundToInt

/** Allocates the free resources of the workers to the demands of one scheduling pass, one demand at a time. */
internal class PlacementPass(
    workers: List<WorkerResources>,
    private val settings: PlannerSettings,
) {
    private val workersById = workers.associateBy { it.id }
    private val workersByService = workers.groupBy { it.service }
    private val totalAccelerators =
        workersByService.mapValues { (_, serviceWorkers) -> serviceWorkers.sumOf { it.capacity.accelerators } }

    /** Number of tasks that this pass has allocated, by step and worker id. */
    private val allocatedByStep = HashMap<Any?, HashMap<String, Int>>()
    private var withheldWorkers = 0
    private val rackWidths = RackWidths({ workersByService[it].orEmpty() }, ::remainingTaskLimit)

    /** Free accelerators that [withhold] and [withholdFor] took from later demands, by service. */
    val withheld = HashMap<String, Withheld>()

    fun acceleratorsOf(service: String): Int = totalAccelerators[service] ?: 0

    fun <K> canUseReserved(demand: Demand<K>): Boolean =
        demand.reserved.groupingBy { it }.eachCount().all { (id, count) ->
            val worker = workersById[id] ?: return false
            !worker.isInTrial &&
                worker.free.countFitting(demand.need, count) >= count &&
                remainingTaskLimit(demand, worker) >= count
        }

    /**
     * Allocates the resources even where they are not free yet, so that later demands cannot use them. The free
     * amounts may become negative.
     */
    fun <K> allocate(
        demand: Demand<K>,
        workers: List<String>,
    ) {
        workers.mapNotNull { workersById[it] }.forEach { worker ->
            worker.free -= demand.need
            if (demand.maxPerWorker > 0) {
                allocatedByStep.getOrPut(demand.step) { HashMap() }.merge(worker.id, 1, Int::plus)
            }
            worker.runCount++
            worker.unprovenRunCount++
            worker.isInTrial = worker.isInTrial || demand.trial != TrialPlacement.NONE
        }
    }

    /**
     * Allocates workers for the tasks of [demand] and returns them, one entry per task. Returns fewer than its width
     * when free resources are short, and none for a gang that does not fit.
     */
    fun <K> place(demand: Demand<K>): List<String> {
        // On a full service almost no worker passes this filter, which saves sorting and grouping the others.
        val workers =
            workersByService[demand.service].orEmpty().filter {
                demand.need.fitsIn(it.free) &&
                    isEligible(demand, it) &&
                    (!it.isTroubled || demand.waitedMs > settings.troubledWaitMs)
            }
        if (workers.isEmpty()) return emptyList()
        val nearData = if (demand.dataRack.isEmpty()) workers else workers.filter { it.rack == demand.dataRack }
        val chosen =
            when {
                demand.isGang -> placeGang(demand, nearData, workers)
                demand.sameRack -> placeInOneRack(demand, nearData, workers)
                else -> placeIndividually(demand, nearData, workers)
            }
        allocate(demand, chosen)
        chosen.forEach { id ->
            workersById[id]?.let {
                it.hasLatencyTarget = it.hasLatencyTarget || demand.hasLatencyTarget
                it.usesSpareCpu = it.usesSpareCpu || demand.usesSpareCpu
            }
        }
        return chosen
    }

    /**
     * Withholds workers with [accelerators] free accelerators in total from all later demands of the pass. Takes whole
     * racks first, starting with the rack that has the most free accelerators, and cold workers last of all.
     */
    fun withhold(
        service: String,
        accelerators: Int,
    ) {
        var left = accelerators
        val racks =
            workersByService[service]
                .orEmpty()
                .filter { !it.isTroubled }
                .groupBy { it.rack }
                .values
        val order = compareByDescending<WorkerResources> { it.free.accelerators }.thenBy { it.id }
        for (worker in racks
            .sortedByDescending { rack ->
                rack.sumOf { it.free.accelerators }
            }.flatMap { it.sortedWith(order) }
            .sortedBy { it.isCold }) {
            if (left <= 0) return
            if (worker.free.accelerators <= 0) continue
            left -= worker.free.accelerators
            withheldOf(service).forUrgent += worker.free.accelerators
            worker.free = Resources()
        }
    }

    /**
     * Withholds workers from all later demands of the pass, so that their resources add up to [missing] tasks of
     * [demand] as running tasks end. A pass withholds at most [PlannerSettings.maxWithheldShare] of the workers of the
     * service for this reason. Does nothing until the demand has waited [PlannerSettings.withholdAfterMs].
     */
    fun <K> withholdFor(
        demand: Demand<K>,
        missing: Int,
    ) {
        if (demand.waitedMs < settings.withholdAfterMs) return
        val limit =
            (workersByService[demand.service].orEmpty().size * settings.maxWithheldShare).toInt() - withheldWorkers
        if (limit <= 0) return
        val workers = workersByService[demand.service].orEmpty().filter { isEligible(demand, it) && !it.isTroubled }
        val nearData = if (demand.dataRack.isEmpty()) workers else workers.filter { it.rack == demand.dataRack }
        val candidates = if (demand.isGang && demand.sameRack) rackWithMostFreeSlots(demand, nearData) else nearData
        val byFree = candidates.filter { slotsWhenEmpty(demand, it) > 0 }.sortedByDescending { it.free.accelerators }
        var left = missing
        for (worker in byFree.take(limit)) {
            if (left <= 0) return
            left -= slotsWhenEmpty(demand, worker)
            withheldWorkers++
            withheldOf(demand.service).forWaiting += maxOf(0, worker.free.accelerators)
            worker.free = Resources()
        }
    }

    private fun withheldOf(service: String): Withheld = withheld.getOrPut(service) { Withheld() }

    private fun <K> rackWithMostFreeSlots(
        demand: Demand<K>,
        workers: List<WorkerResources>,
    ): List<WorkerResources> {
        val racks =
            workers.groupBy { it.rack }.values.filter { rack ->
                rack.sumOf { slotsWhenEmpty(demand, it) } >=
                    demand.width
            }
        return racks.maxByOrNull { rack -> rack.sumOf { freeSlots(demand, it) } }.orEmpty()
    }

    private fun <K> placeGang(
        demand: Demand<K>,
        nearData: List<WorkerResources>,
        workers: List<WorkerResources>,
    ): List<String> {
        if (demand.sameRack || demand.dataRack.isNotEmpty()) return placeInOneRack(demand, nearData, workers)
        val chosen = packTasks(demand, workers)
        return if (chosen.size == demand.width) chosen else emptyList()
    }

    /** Places all tasks in one rack, or across several racks once the demand has waited too long for a single one. */
    private fun <K> placeInOneRack(
        demand: Demand<K>,
        nearData: List<WorkerResources>,
        workers: List<WorkerResources>,
    ): List<String> {
        val canRunRemote = canRunRemote(demand)
        val within = if (canRunRemote) workers else nearData
        val racks = within.groupBy { it.rack }.values.map { rack -> rack to rack.sumOf { freeSlots(demand, it) } }
        val fitting = racks.filter { it.second >= demand.width }
        val best =
            fitting.minWithOrNull(
                compareBy(
                    { it.first.first().rack != demand.dataRack },
                    { needsColdWorker(demand, it.first) },
                    { it.second },
                ),
            )
        if (best != null) return packTasks(demand, best.first)
        if (!canRunRemote) return emptyList()
        val spread = packTasks(demand, workers)
        return if (spread.size == demand.width || !demand.isGang) spread else emptyList()
    }

    /** Whether urgent [demand] would use cold workers of the rack [workers]. */
    private fun <K> needsColdWorker(
        demand: Demand<K>,
        workers: List<WorkerResources>,
    ): Boolean =
        Rank.isUrgent(demand.rank) && workers.sumOf { if (it.isCold) 0 else freeSlots(demand, it) } < demand.width

    private fun <K> placeIndividually(
        demand: Demand<K>,
        nearData: List<WorkerResources>,
        workers: List<WorkerResources>,
    ): List<String> {
        val placedNear = packTasks(demand, nearData)
        if (placedNear.size == demand.width || nearData.size == workers.size || !canRunRemote(demand)) return placedNear
        return placedNear + packTasks(demand, workers - nearData.toSet(), demand.width - placedNear.size)
    }

    /**
     * Prefers the workers with the least free resources, which keeps whole workers free for wide tasks. Troubled workers,
     * which a demand that has waited may use, come last: a restarted task would return to the one where it stood still.
     */
    private fun <K> packTasks(
        demand: Demand<K>,
        workers: List<WorkerResources>,
        width: Int = demand.width,
    ): List<String> {
        val chosen = ArrayList<String>(width)
        val freeWorkersByRack =
            if (settings.decidesByCost && demand.need.accelerators <= 1 && !demand.isGang) {
                workers.filter { it.runCount == 0 }.groupingBy { it.rack }.eachCount()
            } else {
                emptyMap()
            }
        val order =
            compareBy<WorkerResources>(
                { it.consecutiveFailures },
                { it.isTroubled },
                { Rank.isUrgent(demand.rank) && it.isCold },
                { demand.trial != TrialPlacement.NONE && it.isNew },
                { if (demand.trial == TrialPlacement.NONE) 0 else it.unprovenRunCount },
                { if (demand.trial == TrialPlacement.NONE) 0 else it.runCount },
                { speedTier(demand, it) },
                { if (it.runCount == 0) freeWorkersByRack[it.rack] ?: 0 else 0 },
                { freeCoreMillis(demand, it) },
                { it.id },
            )
        for (worker in workers.filter { freeSlots(demand, it) > 0 }.sortedWith(order)) {
            val count = minOf(width - chosen.size, freeSlots(demand, worker))
            repeat(count) { chosen += worker.id }
            if (chosen.size == width) break
        }
        return chosen
    }

    // Urgent work has little slack, so it prefers fast workers; all other work ignores speed and is packed tightly.
    private fun <K> speedTier(
        demand: Demand<K>,
        worker: WorkerResources,
    ): Int = if (Rank.isUrgent(demand.rank)) -(worker.speed * SPEED_TIERS).roundToInt() else 0

    private fun <K> freeCoreMillis(
        demand: Demand<K>,
        worker: WorkerResources,
    ): Long {
        val free = worker.free
        return if (demand.need.accelerators >
            0
        ) {
            free.accelerators.toLong() * CORE_MILLIS_PER_ACCELERATOR + free.cpuMillis
        } else {
            free.cpuMillis.toLong()
        }
    }

    private fun <K> freeSlots(
        demand: Demand<K>,
        worker: WorkerResources,
    ): Int = minOf(worker.free.countFitting(demand.need, demand.width), remainingTaskLimit(demand, worker))

    private fun <K> slotsWhenEmpty(
        demand: Demand<K>,
        worker: WorkerResources,
    ): Int = minOf(worker.capacity.countFitting(demand.need, demand.width), remainingTaskLimit(demand, worker))

    /** Returns how many more tasks of the step of [demand] may run on [worker]. */
    fun remainingTaskLimit(
        demand: Demand<*>,
        worker: WorkerResources,
    ): Int {
        if (demand.maxPerWorker == 0) return Int.MAX_VALUE
        val allocated = allocatedByStep[demand.step]?.get(worker.id) ?: 0
        return maxOf(0, demand.maxPerWorker - (demand.tasksByWorker[worker.id] ?: 0) - allocated)
    }

    /** Whether the demand has waited long enough to run outside the rack of its data or across several racks. */
    private fun <K> canRunRemote(demand: Demand<K>): Boolean {
        if (demand.dataRack.isEmpty() && !demand.sameRack) return true
        if (isWiderThanRacks(demand)) return true
        if (demand.waitedMs > demand.estimateMs * settings.remoteWaitFactor) return true
        if (demand.waitedMs < settings.remoteWaitMs) return false
        val total = totalAccelerators[demand.service] ?: 0
        val free = workersByService[demand.service].orEmpty().sumOf { maxOf(0, it.free.accelerators) }
        return total == 0 || free > total * (1 - settings.lightUtilisation)
    }

    /** Whether [demand] has to be spread over several racks at any load, see [RackWidths]. */
    fun isWiderThanRacks(demand: Demand<*>): Boolean =
        settings.decidesByCost && (demand.sameRack || demand.isGang) && rackWidths.isWider(demand)

    private companion object {
        // Speeds are rounded to eighths, since the estimated speeds cannot resolve differences below a tenth.
        const val SPEED_TIERS = 8

        // An accelerator counts as 8 cores wherever work is measured.
        const val CORE_MILLIS_PER_ACCELERATOR = 8_000L
    }
}
