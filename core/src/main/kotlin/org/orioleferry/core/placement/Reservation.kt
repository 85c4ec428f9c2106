package org.orioleferry.core.placement

import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.WorkerId

/**
 * Workers that are kept for the first job that does not fit, until [readyMs] when it is expected to fit. Without it,
 * small jobs would fill every gap and a large gang would never start.
 */
internal class Reservation(
    val job: WaitingJob,
    private val workers: Set<WorkerId>,
    private val readyMs: Long,
    private val estimates: Estimates,
) {
    /** Whether [other] may start on [worker]: it is not reserved, or [other] is expected to end in time. */
    fun allows(
        other: WaitingJob,
        worker: WorkerId,
    ): Boolean = worker !in workers || estimates.endsBy(other.jobClass, readyMs)
}

/** Expected ends from observed run times. Declared run times are not used, since they are often far off. */
internal class Estimates(
    private val fleet: FleetSnapshot,
) {
    /** Expected end of [gang]; one that ran longer than expected is taken to need as long again. */
    fun endMs(gang: PlacedGang): Long {
        val elapsedMs = (fleet.nowMs - gang.startedMs).coerceAtLeast(0)
        val expectedMs = known(gang.jobClass)?.p90Ms ?: UNKNOWN_RUN_MS
        return if (elapsedMs < expectedMs) gang.startedMs + expectedMs else fleet.nowMs + elapsedMs
    }

    fun endsBy(
        jobClass: JobClassName,
        limitMs: Long,
    ): Boolean = known(jobClass)?.let { fleet.nowMs + it.p90Ms <= limitMs } ?: false

    /** Whether [gang] has run for more than twice the time in which nine of ten jobs of its class end. */
    fun hasOverrun(gang: PlacedGang): Boolean =
        known(gang.jobClass)?.let { fleet.nowMs - gang.startedMs > OVERRUN_FACTOR * it.p90Ms } ?: false

    private fun known(jobClass: JobClassName): RunTimes? =
        fleet.runTimes[jobClass]?.takeIf { it.count >= LEAST_SAMPLES }

    private companion object {
        const val LEAST_SAMPLES = 5
        const val OVERRUN_FACTOR = 2
        const val UNKNOWN_RUN_MS = 600_000L
    }
}

/** Finds the workers on which a job is expected to fit first. Built once for a pass, when a job does not fit. */
internal class ReservationPlanner(
    private val fleet: FleetSnapshot,
    private val space: FreeSpace,
    private val steps: StepCounter,
) {
    private val estimates = Estimates(fleet)
    private val usable = fleet.workers.filter { it.isUsable }
    private val ends = HashMap<WorkerId, MutableList<Pair<Long, Int>>>()

    init {
        for (gang in fleet.gangs) {
            val endMs = estimates.endMs(gang)
            gang.members.forEach {
                steps.add(1)
                ends.getOrPut(it.worker) { mutableListOf() } += endMs to it.accelerators
            }
        }
    }

    fun reserve(job: WaitingJob): Reservation? {
        val allowed = usable.filter { it.id !in job.avoid }
        val groups =
            when (job.gang.adjacency) {
                Adjacency.WORKER -> allowed.map(::listOf)
                Adjacency.RACK -> allowed.groupBy { it.rack }.values.toList()
                Adjacency.DATA_CENTRE -> listOf(allowed)
            }
        return groups.mapNotNull { earliest(job, it) }.minByOrNull { it.first }?.let { (readyMs, workers) ->
            Reservation(job, workers, readyMs, estimates)
        }
    }

    /** Times at which one more member fits on each worker; the earliest ones make up the gang. */
    private fun earliest(
        job: WaitingJob,
        group: List<PlacementWorker>,
    ): Pair<Long, Set<WorkerId>>? {
        val slots = group.flatMap { slots(it, job.gang.acceleratorsPerMember) }
        if (slots.size < job.gang.members) return null
        val chosen = slots.sortedWith(compareBy({ it.first }, { it.second.value })).take(job.gang.members)
        return chosen.last().first to chosen.mapTo(HashSet()) { it.second }
    }

    private fun slots(
        worker: PlacementWorker,
        size: Int,
    ): List<Pair<Long, WorkerId>> {
        var free = space.free(worker.id)
        val found = mutableListOf<Pair<Long, WorkerId>>()
        repeat(free / size) { found += fleet.nowMs to worker.id }
        for ((endMs, amount) in ends[worker.id].orEmpty().sortedBy { it.first }) {
            steps.add(1)
            val before = free / size
            free += amount
            repeat(free / size - before) { found += endMs to worker.id }
        }
        return found
    }
}
