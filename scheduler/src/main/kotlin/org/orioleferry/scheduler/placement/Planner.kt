package org.orioleferry.scheduler.placement

import org.orioleferry.scheduler.model.Resources

/**
 * Room of a worker during one pass; [free] shrinks as the pass places tasks.
 *
 * @property trouble 0 for a healthy worker; workers with a higher value are used last.
 * @property speed speed against the mean of all workers.
 * @property isTroubled whether tasks take several times as long here at present.
 * @property serves whether tasks with a latency target run here.
 * @property fills whether tasks that use spare processor time run here.
 */
internal class WorkerRoom(
    val id: String,
    val service: String,
    val rack: String,
    val labels: Set<String>,
    val capacity: Resources,
    var free: Resources,
    val trouble: Int = 0,
    val speed: Double = 1.0,
    val isTroubled: Boolean = false,
    var serves: Boolean = false,
    var fills: Boolean = false,
)

/** Ranks of work by which a pass orders demands and chooses victims; lower goes first. */
internal object Rank {
    /** Work of the highest priority within the accelerators that are guaranteed to its workspace. */
    const val GUARANTEED = -1

    /** Other work of the highest priority. All further priorities are ranks of their own. */
    const val URGENT = 0

    /** Whether work of [rank] has the highest priority. */
    fun isUrgent(rank: Int): Boolean = rank <= URGENT
}

/**
 * Workspaces whose urgent work fits into their guarantee as a whole, so that its room can be reclaimed from others.
 *
 * @param needed accelerators that all open urgent jobs need, by workspace.
 * @param guaranteed accelerators that belong to the workspace.
 */
internal fun coveredWorkspaces(
    needed: Map<String, Int>,
    guaranteed: (workspace: String) -> Int,
): Set<String> = needed.filter { (workspace, accelerators) -> accelerators <= guaranteed(workspace) }.keys

/**
 * Tasks of one step that wait for a worker.
 *
 * @property priority a [Rank], or a priority below the highest.
 * @property width tasks that want to start; all or none when [isGang].
 * @property order place in the queue: lower goes first.
 * @property used tasks of the step by worker, for [maxPerWorker].
 * @property waitedMs time since the step became ready.
 * @property allowed ids of the only workers that may run the step, or null when all may.
 * @property reserved workers that were emptied for this step, one entry for each task.
 */
internal data class Demand<K>(
    val key: K,
    val service: String,
    val priority: Int,
    val order: Long,
    val need: Resources,
    val width: Int,
    val isGang: Boolean = false,
    val sameRack: Boolean = false,
    val label: String = "",
    val dataRack: String = "",
    val maxPerWorker: Int = 0,
    val used: Map<String, Int> = emptyMap(),
    val waitedMs: Long = 0,
    val estimateMs: Long = 0,
    val serves: Boolean = false,
    val fills: Boolean = false,
    val reserved: List<String> = emptyList(),
    val allowed: Set<String>? = null,
)

/**
 * A group of runs that can be stopped only together.
 *
 * @property priority a [Rank], or a priority below the highest; work is stopped only for work that ranks before it.
 * @property lost work that would be thrown away, in core-ms with an accelerator counted as 8 cores.
 * @property remainingMs time until the last of the runs ends by itself, from their progress so far.
 */
internal data class Victim<K>(
    val key: K,
    val priority: Int,
    val need: Resources,
    val workers: List<String>,
    val lost: Long,
    val remainingMs: Long = Long.MAX_VALUE,
)

/** Tasks of [demand] that start, by worker in the order of the tasks. */
internal data class Placed<K>(
    val demand: Demand<K>,
    val workers: List<String>,
)

/** Victims to stop so that [demand] can run on [workers]; runs that are about to end are waited for instead. */
internal data class Preemption<K, V>(
    val demand: Demand<K>,
    val workers: List<String>,
    val victims: List<V>,
)

/** Result of a pass. */
internal data class Plan<K, V>(
    val placed: List<Placed<K>>,
    val preemptions: List<Preemption<K, V>>,
)

/**
 * Decides what starts where. Pure: the result depends on the arguments only.
 *
 * Urgent demands come first and may preempt; `urgentReserve` accelerators of a service are then kept free for the next
 * ones, since a preemption costs the time of a stop and the work of the victims.
 */
internal class Planner(
    private val settings: PlannerSettings = PlannerSettings(),
) {
    fun <K, V> plan(
        rooms: List<WorkerRoom>,
        demands: List<Demand<K>>,
        victims: List<Victim<V>>,
        urgentReserve: Map<String, Int> = emptyMap(),
    ): Plan<K, V> {
        val pass = Pass(rooms, settings)
        val preemption = PreemptionSearch(rooms, victims, settings)
        val placed = ArrayList<Placed<K>>()
        val preemptions = ArrayList<Preemption<K, V>>()
        val (withReservation, others) = demands.partition { it.reserved.isNotEmpty() }
        withReservation.forEach { demand ->
            if (pass.fitsReserved(demand)) placed += Placed(demand, demand.reserved)
            pass.takeAll(demand, demand.reserved)
        }
        val (urgent, routine) =
            others
                .sortedWith(
                    compareBy({ it.priority }, { it.order }),
                ).partition { Rank.isUrgent(it.priority) }
        urgent.forEach { demand ->
            val workers = pass.place(demand)
            if (workers.isNotEmpty()) placed += Placed(demand, workers)
            val missing = demand.width - workers.size
            if (missing > 0) {
                preemption.find(demand.copy(width = missing))?.let {
                    preemptions += it
                    pass.takeAll(demand, it.workers)
                }
            }
        }
        urgentReserve.forEach { (service, accelerators) -> pass.keepFree(service, accelerators) }
        routine.forEach { demand ->
            val workers = pass.place(demand)
            if (workers.isNotEmpty()) placed += Placed(demand, workers)
            if (workers.size < demand.width) pass.holdRoomFor(demand, demand.width - workers.size)
        }
        return Plan(placed, preemptions)
    }
}

/**
 * Limits of a pass.
 *
 * @property remoteWaitMs wait after which a task may run away from its data while the service is lightly used. Below the
 *   3 s after which idle work next to free room counts as a fault.
 * @property remoteWaitFactor multiple of the estimate after which it may do so at any load: remote work takes three
 *   times as long, so a shorter wait for the data's rack ends earlier.
 * @property lightUse share of accelerators in use below which a service counts as lightly used.
 * @property troubledWaitMs wait after which troubled workers are used as well. Below the same 3 s.
 * @property patienceMs wait after which a step keeps room that comes free from work behind it.
 * @property heldShare largest share of a service's workers that is kept so.
 * @property stopMs remaining time up to which an urgent step waits for a run instead of stopping it: as long as a stop
 *   takes.
 * @property mostSearches searches for victims in a pass; each looks at all workers, and further demands get theirs in the
 *   next pass.
 */
internal data class PlannerSettings(
    val remoteWaitMs: Long = 1_500,
    val remoteWaitFactor: Double = 2.0,
    val lightUse: Double = 0.5,
    val troubledWaitMs: Long = 2_000,
    val patienceMs: Long = 500,
    val heldShare: Double = 0.25,
    val stopMs: Long = 900,
    val mostSearches: Int = 16,
)
