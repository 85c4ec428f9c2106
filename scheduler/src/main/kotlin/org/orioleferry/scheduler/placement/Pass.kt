package org.orioleferry.scheduler.placement

import org.orioleferry.scheduler.model.Resources
import kotlin.math.roundToInt

/** Takes room for the demands of one pass, one after another. */
internal class Pass(
    rooms: List<WorkerRoom>,
    private val settings: PlannerSettings,
) {
    private val byId = rooms.associateBy { it.id }
    private val byService = rooms.groupBy { it.service }
    private val totalAccelerators = byService.mapValues { (_, all) -> all.sumOf { it.capacity.accelerators } }
    private val used = HashMap<String, Int>()
    private var heldWorkers = 0

    fun <K> fitsReserved(demand: Demand<K>): Boolean =
        demand.reserved.groupingBy { it }.eachCount().all { (worker, count) ->
            val room = byId[worker] ?: return false
            room.free.holds(demand.need, count) >= count
        }

    /** Takes the room even where it is not free yet, so that later demands stay away. */
    fun <K> takeAll(
        demand: Demand<K>,
        workers: List<String>,
    ) {
        workers.forEach { id -> byId[id]?.let { it.free -= demand.need } }
    }

    /** Workers for the tasks of [demand]; fewer than its width when room is short, none for a gang that does not fit. */
    fun <K> place(demand: Demand<K>): List<String> {
        used.clear()
        used.putAll(demand.used)
        // On a full service almost no worker passes the first test, so the others are not sorted or grouped.
        val rooms =
            byService[demand.service].orEmpty().filter {
                demand.need.fitsIn(it.free) &&
                    accepts(demand, it) &&
                    (!it.isTroubled || demand.waitedMs > settings.troubledWaitMs)
            }
        if (rooms.isEmpty()) return emptyList()
        val near = if (demand.dataRack.isEmpty()) rooms else rooms.filter { it.rack == demand.dataRack }
        val chosen =
            when {
                demand.isGang -> gang(demand, near, rooms)
                demand.sameRack -> oneRack(demand, near, rooms)
                else -> scattered(demand, near, rooms)
            }
        takeAll(demand, chosen)
        chosen.forEach { id ->
            byId[id]?.let {
                it.serves = it.serves || demand.serves
                it.fills = it.fills || demand.fills
            }
        }
        return chosen
    }

    /** Keeps workers with [accelerators] free accelerators in total from all later demands, whole racks first. */
    fun keepFree(
        service: String,
        accelerators: Int,
    ) {
        var left = accelerators
        val racks =
            byService[service]
                .orEmpty()
                .filter { !it.isTroubled }
                .groupBy { it.rack }
                .values
        val order = compareByDescending<WorkerRoom> { it.free.accelerators }.thenBy { it.id }
        for (room in racks
            .sortedByDescending { rack ->
                rack.sumOf { it.free.accelerators }
            }.flatMap { it.sortedWith(order) }) {
            if (left <= 0) return
            if (room.free.accelerators <= 0) continue
            left -= room.free.accelerators
            room.free = Resources()
        }
    }

    /** Keeps room that is on its way to holding [missing] tasks of [demand] from all later demands of the pass. */
    fun <K> holdRoomFor(
        demand: Demand<K>,
        missing: Int,
    ) {
        if (demand.waitedMs < settings.patienceMs) return
        val limit = (byService[demand.service].orEmpty().size * settings.heldShare).toInt() - heldWorkers
        if (limit <= 0) return
        val rooms = byService[demand.service].orEmpty().filter { accepts(demand, it) && !it.isTroubled }
        val near = if (demand.dataRack.isEmpty()) rooms else rooms.filter { it.rack == demand.dataRack }
        val held = if (demand.isGang && demand.sameRack) closestRack(demand, near) else near
        val byFree = held.filter { slotsWhenEmpty(demand, it) > 0 }.sortedByDescending { it.free.accelerators }
        var left = missing
        for (room in byFree.take(limit)) {
            if (left <= 0) return
            left -= slotsWhenEmpty(demand, room)
            heldWorkers++
            room.free = Resources()
        }
    }

    private fun <K> closestRack(
        demand: Demand<K>,
        rooms: List<WorkerRoom>,
    ): List<WorkerRoom> {
        val racks =
            rooms.groupBy { it.rack }.values.filter { rack ->
                rack.sumOf { slotsWhenEmpty(demand, it) } >=
                    demand.width
            }
        return racks.maxByOrNull { rack -> rack.sumOf { slots(demand, it) } }.orEmpty()
    }

    private fun <K> gang(
        demand: Demand<K>,
        near: List<WorkerRoom>,
        rooms: List<WorkerRoom>,
    ): List<String> {
        if (demand.sameRack || demand.dataRack.isNotEmpty()) return oneRack(demand, near, rooms)
        val chosen = fill(demand, rooms)
        return if (chosen.size == demand.width) chosen else emptyList()
    }

    /** All tasks in one rack; over several racks only when waiting for one has taken too long. */
    private fun <K> oneRack(
        demand: Demand<K>,
        near: List<WorkerRoom>,
        rooms: List<WorkerRoom>,
    ): List<String> {
        val mayRunRemote = mayRunRemote(demand)
        val within = if (mayRunRemote) rooms else near
        val racks = within.groupBy { it.rack }.values.map { rack -> rack to rack.sumOf { slots(demand, it) } }
        val fitting = racks.filter { it.second >= demand.width }
        val best = fitting.minWithOrNull(compareBy({ it.first.first().rack != demand.dataRack }, { it.second }))
        if (best != null) return fill(demand, best.first)
        if (!mayRunRemote) return emptyList()
        val spread = fill(demand, rooms)
        return if (spread.size == demand.width || !demand.isGang) spread else emptyList()
    }

    private fun <K> scattered(
        demand: Demand<K>,
        near: List<WorkerRoom>,
        rooms: List<WorkerRoom>,
    ): List<String> {
        val first = fill(demand, near)
        if (first.size == demand.width || near.size == rooms.size || !mayRunRemote(demand)) return first
        return first + fill(demand, rooms - near.toSet(), demand.width - first.size)
    }

    /** Fills the tightest workers first, which keeps whole workers free for wide tasks. */
    private fun <K> fill(
        demand: Demand<K>,
        rooms: List<WorkerRoom>,
        width: Int = demand.width,
    ): List<String> {
        val chosen = ArrayList<String>(width)
        val order =
            compareBy<WorkerRoom>({ it.trouble }, { speedTier(demand, it) }, { leftover(demand, it) }, { it.id })
        for (room in rooms.filter { slots(demand, it) > 0 }.sortedWith(order)) {
            val count = minOf(width - chosen.size, slots(demand, room))
            repeat(count) { chosen += room.id }
            used.merge(room.id, count, Int::plus)
            if (chosen.size == width) break
        }
        return chosen
    }

    // Urgent work has little slack, so it goes to the fast workers; all other work is packed.
    private fun <K> speedTier(
        demand: Demand<K>,
        room: WorkerRoom,
    ): Int = if (Rank.isUrgent(demand.priority)) -(room.speed * SPEED_TIERS).roundToInt() else 0

    private fun <K> leftover(
        demand: Demand<K>,
        room: WorkerRoom,
    ): Long {
        val free = room.free
        return if (demand.need.accelerators >
            0
        ) {
            free.accelerators.toLong() * CORE_MILLIS_PER_ACCELERATOR + free.cpuMillis
        } else {
            free.cpuMillis.toLong()
        }
    }

    private fun <K> slots(
        demand: Demand<K>,
        room: WorkerRoom,
    ): Int = minOf(room.free.holds(demand.need, demand.width), perWorkerLeft(demand, room))

    private fun <K> slotsWhenEmpty(
        demand: Demand<K>,
        room: WorkerRoom,
    ): Int = minOf(room.capacity.holds(demand.need, demand.width), perWorkerLeft(demand, room))

    private fun <K> perWorkerLeft(
        demand: Demand<K>,
        room: WorkerRoom,
    ): Int = if (demand.maxPerWorker == 0) Int.MAX_VALUE else maxOf(0, demand.maxPerWorker - (used[room.id] ?: 0))

    private fun <K> mayRunRemote(demand: Demand<K>): Boolean {
        if (demand.dataRack.isEmpty() && !demand.sameRack) return true
        if (demand.waitedMs > demand.estimateMs * settings.remoteWaitFactor) return true
        if (demand.waitedMs < settings.remoteWaitMs) return false
        val total = totalAccelerators[demand.service] ?: 0
        val free = byService[demand.service].orEmpty().sumOf { maxOf(0, it.free.accelerators) }
        return total == 0 || free > total * (1 - settings.lightUse)
    }

    private companion object {
        // Differences below a tenth are not known well enough.
        const val SPEED_TIERS = 8

        // An accelerator is worth 8 cores in the accounts of work.
        const val CORE_MILLIS_PER_ACCELERATOR = 8_000L
    }
}

/** Whether the worker may run tasks of [demand] at all. Serving and filling tasks stay apart, since they disturb each other. */
internal fun <K> accepts(
    demand: Demand<K>,
    room: WorkerRoom,
): Boolean =
    room.service == demand.service &&
        (demand.allowed == null || room.id in demand.allowed) &&
        (demand.label.isEmpty() || demand.label in room.labels) &&
        !(demand.serves && room.fills) &&
        !(demand.fills && room.serves)
