package org.orioleferry.core.replay

import kotlinx.serialization.Serializable
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.placement.PlacementPolicy
import kotlin.math.exp
import kotlin.math.ln

/** Slowdown and wait of a group of jobs. [p99Slowdown] is 0 when no job of the group is done. */
@Serializable
public data class GroupMeasures(
    val done: Int,
    val meanSlowdown: Double,
    val p99Slowdown: Double,
    val meanWaitMs: Double,
    val stops: Int,
)

/**
 * Outcome of one policy on one stream.
 *
 * @property slowdownBound mean slowdown that no schedule can beat, for the jobs that are done.
 * @property probeShare share of samples in which a gang of 16 accelerators would start at once.
 * @property largeGangs gangs of a whole data centre that are done; [largeGangsInBound] of them started within
 *   1.5 x drain bound.
 * @property flood p99 slowdown of other work around floods, relative to the same work without the floods.
 * @property smallCallers p99 slowdown of small callers, relative to the same jobs without the large callers.
 * @property fairness Jain index over the callers' mean of 1 / slowdown.
 * @property score weighted geometric mean of completion, fragmentation, flood and small callers relative to their
 *   targets; below 1 is better than the targets.
 */
@Serializable
public data class PolicyMeasures(
    val all: GroupMeasures,
    val byClass: Map<String, GroupMeasures>,
    val byWorkspace: Map<String, GroupMeasures>,
    val slowdownBound: Double,
    val utilisation: Double,
    val fragmentation: Double,
    val probeShare: Double,
    val largeGangs: Int,
    val largeGangsInBound: Int,
    val neverStarted: Int,
    val stoppedTooOften: Int,
    val neverFits: Int,
    val flood: Double,
    val smallCallers: Double,
    val fairness: Double,
    val score: Double,
) {
    /** Mean slowdown relative to the bound. */
    val completion: Double get() = all.meanSlowdown / slowdownBound
}

/** Targets from section 7 of `docs/design.md` that the comparison reports against. */
public object Targets {
    /** Mean slowdown relative to the bound at 80% load. */
    public const val COMPLETION: Double = 1.2

    /** Share of samples in which a gang of 16 accelerators starts at once. */
    public const val PROBE_SHARE: Double = 0.95

    /** Factor of the drain bound within which a gang of 64 accelerators starts. */
    public const val DRAIN_FACTOR: Double = 1.5

    /** p99 slowdown of other work around a flood, relative to the same work without the flood. */
    public const val FLOOD: Double = 1.5

    /** p99 slowdown of small callers, relative to the same jobs without the large callers. */
    public const val SMALL_CALLERS: Double = 1.25

    /** Jain index over callers. */
    public const val FAIRNESS: Double = 0.98
}

/** Replays [jobs] with [policy], with and without floods and large callers, and measures the outcome. */
public fun measurePolicy(
    deployment: Deployment,
    jobs: List<StreamJob>,
    policy: PlacementPolicy,
): Pair<ReplayResult, PolicyMeasures> {
    val assigned = assignDataCentres(deployment.dataCentres, jobs.sortedBy { it.submittedMs })
    val result = replay(deployment, assigned, policy)
    val floods = findFloods(assigned)
    val withoutFloods = replay(deployment, assigned - floods.jobs, policy)
    val large = findLargeCallers(assigned)
    val withoutLargeCallers = replay(deployment, assigned.filter { it.caller !in large }, policy)
    val flood = ratioOfP99(result, withoutFloods) { floods.isAround(it) }
    val smallCallers = ratioOfP99(result, withoutLargeCallers) { it.caller !in large }
    return result to MeasureBuilder(deployment, result).build(flood, smallCallers)
}

private class MeasureBuilder(
    private val deployment: Deployment,
    private val result: ReplayResult,
) {
    private val done = result.jobs.filter { it.end == ReplayEnd.DONE }

    fun build(
        flood: Double,
        smallCallers: Double,
    ): PolicyMeasures {
        val bound = meanSlowdownBound(done.map { it.job }, deployment.acceleratorsPerDataCentre)
        val probeShare = result.samples.count { it.probeStarts }.toDouble() / result.samples.size
        val large = done.filter { it.job.gang.accelerators == deployment.acceleratorsPerDataCentre }
        val all = measureGroup(result.jobs)
        return PolicyMeasures(
            all = all,
            byClass = result.jobs.groupBy { it.job.jobClass.value }.mapValues { measureGroup(it.value) },
            byWorkspace = result.jobs.groupBy { it.job.workspace.value }.mapValues { measureGroup(it.value) },
            slowdownBound = bound,
            utilisation = result.samples.map { it.used.toDouble() / it.capacity }.average(),
            fragmentation = result.samples.map { it.fragmentation }.average(),
            probeShare = probeShare,
            largeGangs = large.size,
            largeGangsInBound = large.count { (it.waitMs ?: 0) <= it.drainBoundMs * Targets.DRAIN_FACTOR },
            neverStarted = result.jobs.count { it.end == ReplayEnd.NEVER_STARTED },
            stoppedTooOften = result.jobs.count { it.end == ReplayEnd.STOPPED_TOO_OFTEN },
            neverFits = result.jobs.count { it.end == ReplayEnd.NEVER_FITS },
            flood = flood,
            smallCallers = smallCallers,
            fairness =
                jainIndex(
                    done.groupBy { it.job.caller }.values.map { list ->
                        list.map { 1 / (it.slowdown ?: 1.0) }.average()
                    },
                ),
            score = score(all.meanSlowdown / bound, 1 - probeShare, flood, smallCallers),
        )
    }

    private fun score(
        completion: Double,
        blockedShare: Double,
        flood: Double,
        smallCallers: Double,
    ): Double {
        val weights = deployment.weights
        // The share of blocked probes can be 0, whose logarithm is infinite and would hide every other measure.
        val blocked = (blockedShare / (1 - Targets.PROBE_SHARE)).coerceAtLeast(MIN_BLOCKED_RATIO)
        return exp(
            weights.completion * ln(completion / Targets.COMPLETION) +
                weights.fragmentation * ln(blocked) +
                weights.flood * ln(flood / Targets.FLOOD) +
                weights.smallCallers * ln(smallCallers / Targets.SMALL_CALLERS),
        )
    }

    private companion object {
        const val MIN_BLOCKED_RATIO = 0.1
    }
}

private fun measureGroup(jobs: List<ReplayedJob>): GroupMeasures {
    val slowdowns = jobs.mapNotNull { it.slowdown }
    return GroupMeasures(
        done = slowdowns.size,
        meanSlowdown = if (slowdowns.isEmpty()) 0.0 else slowdowns.average(),
        p99Slowdown = p99(slowdowns),
        meanWaitMs = jobs.mapNotNull { it.waitMs }.let { if (it.isEmpty()) 0.0 else it.average() },
        stops = jobs.sumOf { it.stops },
    )
}

/** Smallest value that at least 99% of [values] do not exceed. */
internal fun p99(values: List<Double>): Double =
    if (values.isEmpty()) 0.0 else values.sorted()[((values.size * 99 + 99) / 100 - 1).coerceIn(values.indices)]

private fun jainIndex(values: List<Double>): Double {
    val sum = values.sum()
    return if (values.isEmpty()) 1.0 else sum * sum / (values.size * values.sumOf { it * it })
}

/** p99 slowdown of the jobs that [isMeasured] selects in [result], relative to the same jobs in [reference]. */
private fun ratioOfP99(
    result: ReplayResult,
    reference: ReplayResult,
    isMeasured: (StreamJob) -> Boolean,
): Double {
    val other = reference.jobs.filter { isMeasured(it.job) && it.slowdown != null }.associateBy { it.job.id }
    val common = result.jobs.filter { it.slowdown != null && it.job.id in other }
    if (common.isEmpty()) return 1.0
    return p99(common.mapNotNull { it.slowdown }) / p99(common.mapNotNull { other[it.job.id]?.slowdown })
}

/** Jobs that belong to floods, and the times around the floods. */
private class Floods(
    val jobs: Set<StreamJob>,
    private val windows: List<Pair<DataCentre?, LongRange>>,
) {
    fun isAround(job: StreamJob): Boolean =
        job !in jobs &&
            windows.any { (dataCentre, window) -> dataCentre == job.dataCentre && job.submittedMs in window }
}

private const val FLOOD_WINDOW_MS = 600_000L
private const val FLOOD_EFFECT_MS = 3_600_000L
private const val MIN_FLOOD_JOBS = 8

/** Finds floods: at least 8 jobs of one class within a window of ten minutes, which routine work does not reach. */
private fun findFloods(jobs: List<StreamJob>): Floods {
    val groups =
        jobs
            .groupBy { it.jobClass to it.submittedMs / FLOOD_WINDOW_MS }
            .filterValues { it.size >= MIN_FLOOD_JOBS }
    val windows =
        groups.flatMap { (key, list) ->
            val startMs = key.second * FLOOD_WINDOW_MS
            list.map { it.dataCentre }.distinct().map { it to startMs..startMs + FLOOD_EFFECT_MS }
        }
    return Floods(groups.values.flatten().toSet(), windows)
}

/** Finds the callers that submit more than five times as many jobs as the median caller. */
private fun findLargeCallers(jobs: List<StreamJob>): Set<String> {
    val counts = jobs.groupingBy { it.caller }.eachCount()
    val median = counts.values.sorted().let { if (it.isEmpty()) 0 else it[it.size / 2] }
    return counts.filterValues { it > LARGE_CALLER_FACTOR * median }.keys
}

private const val LARGE_CALLER_FACTOR = 5
