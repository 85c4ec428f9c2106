package org.orioleferry.core.placement

import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.WorkerId

/**
 * Workers reserved for the first job that does not fit, until [readyMs], when it is expected to fit. Without the
 * reservation, small jobs would take all accelerators that become free and a large gang would never start.
 */
internal class Reservation(
    val job: WaitingJob,
    private val workers: Set<WorkerId>,
    private val readyMs: Long,
    private val estimates: Estimates,
) {
    /** Whether [other] may start on [worker]: it is not reserved, or [other] is expected to end in time. */
    fun isAllowed(
        other: WaitingJob,
        worker: WorkerId,
    ): Boolean = worker !in workers || estimates.canEndBy(other.jobClass, readyMs)
}

/** Expected end times from observed run times. Declared run times are not used, since they are often far off. */
internal class Estimates(
    private val fleet: FleetSnapshot,
) {
    /** Expected end of [gang]; one that has run longer than expected is assumed to run as long again. */
    fun endMs(gang: PlacedGang): Long {
        val elapsedMs = (fleet.nowMs - gang.startedMs).coerceAtLeast(0)
        val expectedMs = reliableRunTimes(gang.jobClass)?.p90Ms ?: DEFAULT_RUN_TIME_MS
        return if (elapsedMs < expectedMs) gang.startedMs + expectedMs else fleet.nowMs + elapsedMs
    }

    /** Whether a job of [jobClass] that starts now is expected to end by [limitMs]; false with too few samples. */
    fun canEndBy(
        jobClass: JobClassName,
        limitMs: Long,
    ): Boolean = reliableRunTimes(jobClass)?.let { fleet.nowMs + it.p90Ms <= limitMs } ?: false

    /** Whether [gang] has run for more than twice the 90th percentile run time of its class. */
    fun hasOverrun(gang: PlacedGang): Boolean =
        reliableRunTimes(gang.jobClass)?.let { fleet.nowMs - gang.startedMs > OVERRUN_FACTOR * it.p90Ms } ?: false

    private fun reliableRunTimes(jobClass: JobClassName): RunTimes? =
        fleet.runTimes[jobClass]?.takeIf { it.count >= MIN_SAMPLES }

    private companion object {
        const val MIN_SAMPLES = 5
        const val OVERRUN_FACTOR = 2
        const val DEFAULT_RUN_TIME_MS = 600_000L
    }
}

/** Finds the workers on which a job is expected to fit earliest. Built once a pass, when the first job does not fit. */
internal class ReservationPlanner(
    private val fleet: FleetSnapshot,
    private val space: FreeSpace,
    private val steps: StepCounter,
) {
    private val estimates = Estimates(fleet)
    private val usable = fleet.workers.filter { it.isUsable }
    private val releasesByWorker = HashMap<WorkerId, MutableList<Pair<Long, Int>>>()

    init {
        for (gang in fleet.gangs) {
            val endMs = estimates.endMs(gang)
            gang.members.forEach {
                steps.add(1)
                releasesByWorker.getOrPut(it.worker) { mutableListOf() } += endMs to it.accelerators
            }
        }
    }

    fun reserve(job: WaitingJob): Reservation? {
        val allowed = usable.filter { it.id !in job.excludedWorkers }
        val groups =
            when (job.gang.adjacency) {
                Adjacency.WORKER -> allowed.map(::listOf)
                Adjacency.RACK -> allowed.groupBy { it.rack }.values.toList()
                Adjacency.DATA_CENTRE -> listOf(allowed)
            }
        return groups.mapNotNull { findEarliest(job, it) }.minByOrNull { it.first }?.let { (readyMs, workers) ->
            Reservation(job, workers, readyMs, estimates)
        }
    }

    /**
     * Finds the earliest time at which [group] has room for the gang of [job], and the workers that it would use. Each
     * slot is a time at which one more member fits on a worker; the earliest slots make up the gang.
     */
    private fun findEarliest(
        job: WaitingJob,
        group: List<PlacementWorker>,
    ): Pair<Long, Set<WorkerId>>? {
        val slots = group.flatMap { findSlots(it, job.gang.acceleratorsPerMember) }
        if (slots.size < job.gang.members) return null
        val chosen = slots.sortedWith(compareBy({ it.first }, { it.second.value })).take(job.gang.members)
        return chosen.last().first to chosen.mapTo(HashSet()) { it.second }
    }

    /** Lists each time at which one more member of [size] accelerators fits on [worker]. */
    private fun findSlots(
        worker: PlacementWorker,
        size: Int,
    ): List<Pair<Long, WorkerId>> {
        var free = space.free(worker.id)
        val found = mutableListOf<Pair<Long, WorkerId>>()
        repeat(free / size) { found += fleet.nowMs to worker.id }
        for ((endMs, amount) in releasesByWorker[worker.id].orEmpty().sortedBy { it.first }) {
            steps.add(1)
            val before = free / size
            free += amount
            repeat(free / size - before) { found += endMs to worker.id }
        }
        return found
    }
}
