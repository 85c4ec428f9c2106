package org.orioleferry.scheduler.placement

import org.orioleferry.scheduler.model.Resources

/**
 * Resources of a worker during one scheduling pass; [free] shrinks as the pass places tasks.
 *
 * @property consecutiveFailures failed runs since the last success, 0 for a healthy worker; workers with a higher
 *   value are used last.
 * @property speed speed relative to the mean of all workers.
 * @property isTroubled whether tasks currently take several times as long on this worker.
 * @property hasLatencyTarget whether tasks with a latency target run on this worker.
 * @property usesSpareCpu whether tasks that use spare processor time run on this worker.
 * @property runCount number of runs on this worker.
 * @property unprovenRunCount number of those that have not worked for as long as a trial takes; each of them hides the
 *   cause of a crash.
 * @property isInTrial whether a suspect is on trial on this worker, so that nothing else starts there.
 * @property isNew whether the worker began a short time ago and may be unstable.
 * @property isCold whether the worker is slow for a while after its start; urgent work uses it last.
 */
internal class WorkerResources(
    val id: String,
    val service: String,
    val rack: String,
    val labels: Set<String>,
    val capacity: Resources,
    var free: Resources,
    val consecutiveFailures: Int = 0,
    val speed: Double = 1.0,
    val isTroubled: Boolean = false,
    var hasLatencyTarget: Boolean = false,
    var usesSpareCpu: Boolean = false,
    var runCount: Int = 0,
    var unprovenRunCount: Int = 0,
    var isInTrial: Boolean = false,
    val isNew: Boolean = false,
    val isCold: Boolean = false,
)

/** Ranks by which a pass orders demands and selects preemption victims; lower ranks go first. */
internal object Rank {
    /** Work of the highest priority within the accelerators that are guaranteed to its workspace. */
    const val GUARANTEED = -1

    /** Other work of the highest priority. Each lower priority is a rank of its own. */
    const val URGENT = 0

    /** Whether work of [rank] has the highest priority. */
    fun isUrgent(rank: Int): Boolean = rank <= URGENT
}

/**
 * Returns the workspaces whose entire urgent work fits into their guarantee and may therefore reclaim accelerators from
 * other workspaces.
 *
 * @param needed accelerators that all open urgent jobs need, by workspace.
 * @param guaranteed accelerators that are guaranteed to the workspace.
 */
internal fun workspacesWithinGuarantee(
    needed: Map<String, Int>,
    guaranteed: (workspace: String) -> Int,
): Set<String> = needed.filter { (workspace, accelerators) -> accelerators <= guaranteed(workspace) }.keys

/**
 * Tasks of one step that wait for a worker.
 *
 * @property rank a value of [Rank], or the priority of the queue when that is not the highest.
 * @property width number of tasks to start; all or none when [isGang].
 * @property position position among demands of the same rank.
 * @property maxPerWorker limit on the tasks of the step on one worker, or 0 for no limit.
 * @property tasksByWorker number of tasks of the step on each worker before the pass, by worker id; counted against
 *   [maxPerWorker].
 * @property step the step of the tasks; several demands of one step share its [maxPerWorker].
 * @property waitedMs time since the step became ready, ms.
 * @property allowed ids of the only workers that may run the step, or null when all may.
 * @property trial how the trial of tasks that may crash their workers is placed.
 * @property hasToStart whether the tasks have to start now, so that the limit on searches does not apply to them.
 * @property preemptionBudgetCoreMs most work in core-ms, with an accelerator counted as 8 cores, that may be discarded in
 *   favour of the tasks.
 * @property reserved workers that were emptied by preemption for this step, one entry for each task.
 */
internal data class Demand<K>(
    val key: K,
    val service: String,
    val rank: Int,
    val position: QueuePosition,
    val need: Resources,
    val width: Int,
    val isGang: Boolean = false,
    val sameRack: Boolean = false,
    val label: String = "",
    val dataRack: String = "",
    val maxPerWorker: Int = 0,
    val tasksByWorker: Map<String, Int> = emptyMap(),
    val waitedMs: Long = 0,
    val estimateMs: Long = 0,
    val hasLatencyTarget: Boolean = false,
    val usesSpareCpu: Boolean = false,
    val preemptionBudgetCoreMs: Long = Long.MAX_VALUE,
    val hasToStart: Boolean = false,
    val reserved: List<String> = emptyList(),
    val allowed: Set<String>? = null,
    val trial: TrialPlacement = TrialPlacement.NONE,
    val step: Any? = key,
)

/**
 * A group of runs that can only be preempted together.
 *
 * @property rank a value of [Rank], or the priority of the queue when that is not the highest; only work that ranks
 *   before it may preempt it.
 * @property need resources of each run.
 * @property workers workers of the runs, one entry for each run.
 * @property lostWorkCoreMs work that a preemption would discard, in core-ms with an accelerator counted as 8 cores.
 * @property isLasting whether the runs last until their job is cancelled; only work within a guarantee may preempt them.
 * @property remainingMs time until the last of the runs ends by itself, extrapolated from their progress, ms;
 *   [Long.MAX_VALUE] when it is not known.
 */
internal data class Victim<K>(
    val key: K,
    val rank: Int,
    val need: Resources,
    val workers: List<String>,
    val lostWorkCoreMs: Long,
    val remainingMs: Long = Long.MAX_VALUE,
    val isLasting: Boolean = false,
)

/** Placement of tasks of [demand]; [workers] has one entry per task, in task order. */
internal data class Placed<K>(
    val demand: Demand<K>,
    val workers: List<String>,
)

/** Victims to stop so that [demand] can run on [workers]. Runs that are about to end are not among [victims]. */
internal data class Preemption<K, V>(
    val demand: Demand<K>,
    val workers: List<String>,
    val victims: List<V>,
)

/** Free accelerators of a service that a pass withheld from demands which could have used them. */
internal class Withheld(
    var forUrgent: Int = 0,
    var forWaiting: Int = 0,
)

/** Placements and preemptions that one scheduling pass decided on, and what it withheld by service. */
internal data class Plan<K, V>(
    val placed: List<Placed<K>>,
    val preemptions: List<Preemption<K, V>>,
    val withheld: Map<String, Withheld> = emptyMap(),
)

/**
 * Decides which tasks start on which workers and which runs are preempted. The result depends on the arguments and the
 * settings only; the pass changes the given [WorkerResources].
 *
 * Urgent demands are placed first and may preempt. The `urgentReserve` accelerators of each service are then withheld
 * from other work for the next urgent demands, since a preemption costs the time of a stop and the work of the victims.
 * Each lower rank then gets what it lacks of its minimum share, before the other demands are placed by rank.
 */
internal class Planner(
    private val settings: PlannerSettings = PlannerSettings(),
) {
    /** Plans one pass. [inUse] is the number of accelerators that runs of each rank hold, by service. */
    fun <K, V> plan(
        workerResources: List<WorkerResources>,
        demands: List<Demand<K>>,
        victims: List<Victim<V>>,
        urgentReserve: Map<String, Int> = emptyMap(),
        inUse: Map<ServiceRank, Int> = emptyMap(),
    ): Plan<K, V> {
        val pass = PlacementPass(workerResources, settings)
        val preemption = PreemptionSearch(workerResources, victims, settings, pass)
        val placed = ArrayList<Placed<K>>()
        val preemptions = ArrayList<Preemption<K, V>>()
        val (withReservation, others) = demands.partition { it.reserved.isNotEmpty() }
        withReservation.forEach { demand ->
            if (pass.canUseReserved(demand)) placed += Placed(demand, demand.reserved)
            pass.allocate(demand, demand.reserved)
        }
        val (urgent, nonUrgent) =
            others
                .sortedWith(
                    compareBy({ it.rank }, { it.position }),
                ).partition { Rank.isUrgent(it.rank) }
        urgent.forEach { demand ->
            val workers = pass.place(demand)
            if (workers.isNotEmpty()) placed += Placed(demand, workers)
            val missing = demand.width - workers.size
            if (missing > 0 && demand.trial == TrialPlacement.NONE) {
                preemption.find(demand.copy(width = missing))?.let {
                    preemptions += it
                    pass.allocate(demand, it.workers)
                }
            }
        }
        urgentReserve.forEach { (service, accelerators) -> pass.withhold(service, accelerators) }
        val minimumShares = placeMinimumShares(pass, nonUrgent, inUse)
        nonUrgent.forEach { demand ->
            val chosen = minimumShares[demand.key].orEmpty()
            val rest = demand.copy(width = demand.width - chosen.size)
            val workers = if (rest.width == 0) chosen else chosen + pass.place(rest)
            if (workers.isNotEmpty()) placed += Placed(demand, workers)
            val isWaiting = workers.size < demand.width && demand.trial == TrialPlacement.NONE
            if (isWaiting) pass.withholdFor(rest, demand.width - workers.size)
        }
        return Plan(placed, preemptions, pass.withheld)
    }

    /**
     * Places tasks of ranks that use less than their minimum share of a service, but no part of a gang. Returns their
     * workers by the key of the demand.
     */
    private fun <K> placeMinimumShares(
        pass: PlacementPass,
        nonUrgent: List<Demand<K>>,
        inUse: Map<ServiceRank, Int>,
    ): Map<K, List<String>> {
        val workersByKey = HashMap<K, List<String>>()
        val unused = HashMap<ServiceRank, Int>()
        val highestRank = nonUrgent.groupBy { it.service }.mapValues { (_, waiting) -> waiting.minOf { it.rank } }
        nonUrgent.filter { it.rank > highestRank.getValue(it.service) }.forEach { demand ->
            val rank = ServiceRank(demand.service, demand.rank)
            val left =
                unused.getOrPut(rank) {
                    (pass.acceleratorsOf(demand.service) * settings.minShare).toInt() - (inUse[rank] ?: 0)
                }
            val width = minOf(demand.width, left / demand.need.countedAccelerators)
            if (width <= 0 || (demand.isGang && width < demand.width)) return@forEach
            val workers = pass.place(demand.copy(width = width))
            workersByKey[demand.key] = workers
            unused[rank] = left - workers.size * demand.need.countedAccelerators
        }
        return workersByKey
    }
}

/** Accelerators as counted in the use of a service; a task without accelerators counts as one. */
internal val Resources.countedAccelerators: Int get() = maxOf(1, accelerators)

/** A rank of work on a service. */
internal data class ServiceRank(
    val service: String,
    val rank: Int,
)

/**
 * Limits of a pass.
 *
 * @property remoteWaitMs wait after which tasks may run outside the rack of their data, or in several racks despite
 *   [Demand.sameRack], while the service is lightly used. Must stay below the 3 s after which work that waits
 *   next to free resources counts as a fault.
 * @property remoteWaitFactor multiple of the estimate after which tasks may do so at any load. Remote work takes three
 *   times as long, so waiting up to twice the estimate for the rack of the data still ends earlier.
 * @property lightUtilisation share of accelerators in use below which a service counts as lightly used.
 * @property troubledWaitMs wait after which troubled workers are used as well. Must stay below the same 3 s.
 * @property withholdAfterMs wait after which workers are withheld from later demands in favour of a step.
 * @property maxWithheldShare largest share of a service's workers that is withheld for waiting steps.
 * @property stopDurationMs remaining time up to which an urgent step waits for a run to end instead of stopping it;
 *   equals the duration of a stop.
 * @property maxVictimSearches searches for victims in one pass. Each search looks at all workers; demands beyond the
 *   limit are searched for in a later pass.
 * @property decidesByCost whether decisions follow the cost of delays and stops: a step that does not fit into any single
 *   rack, even an empty one, is placed across racks without waiting for one, and tasks with a single accelerator are
 *   kept out of racks with many free workers.
 * @property minShare share of a service's accelerators that each rank below the highest non-urgent one may use before
 *   that one is served, so that lasting load of one priority does not stop all work of the priorities below it.
 */
internal data class PlannerSettings(
    val remoteWaitMs: Long = 1_500,
    val remoteWaitFactor: Double = 2.0,
    val lightUtilisation: Double = 0.5,
    val troubledWaitMs: Long = 2_000,
    val withholdAfterMs: Long = 500,
    val maxWithheldShare: Double = 0.25,
    val stopDurationMs: Long = 900,
    val maxVictimSearches: Int = 16,
    val minShare: Double = 0.1,
    val decidesByCost: Boolean = false,
)
