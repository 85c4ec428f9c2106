package org.orioleferry.core.guarantee

import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.placement.FleetSnapshot
import org.orioleferry.core.placement.FreeSpace
import org.orioleferry.core.placement.PlacedGang
import org.orioleferry.core.placement.PlacementMember
import org.orioleferry.core.placement.PlannedReclaim
import org.orioleferry.core.placement.StepCounter
import org.orioleferry.core.placement.WaitingJob
import java.util.PriorityQueue

/**
 * A worker that could take one more member of the job.
 *
 * @property members number of the job's members on the worker, including that one.
 * @property victims gangs to stop for that member.
 * @property awaited gangs that are being stopped already and whose accelerators the member waits for.
 */
private class WorkerOption(
    val worker: WorkerId,
    val members: Int,
    val victims: List<PlacedGang>,
    val awaited: List<PlacedGang>,
) {
    val cost: Long = victims.sumOf { it.lostWorkMs }
}

/**
 * Chooses the gangs to stop for a job, one member of the job at a time, so that the least work is lost. The choice is
 * greedy: until a gang that spans several workers is chosen, its full cost counts for each of them.
 */
internal class ReclaimPlanner(
    fleet: FleetSnapshot,
    private val space: FreeSpace,
    private val steps: StepCounter,
) {
    private val usable = fleet.workers.filter { it.isUsable }
    private val rackOf = usable.associate { it.id to it.rack }
    private val racks = usable.groupBy({ it.rack }, { it.id })
    private val gangsAt = HashMap<WorkerId, MutableList<PlacedGang>>()
    private val reclaimedJobs = HashSet<JobId>()

    /** Accelerators of each worker that gangs already being stopped will free and that no reclaim has used yet. */
    private val pendingFree = HashMap<WorkerId, Int>()

    init {
        fleet.reclaims.forEach { reclaimedJobs += it.victims }
        val candidates = fleet.gangs.filter { it.isPreemptible && (!it.isStopping || it.jobId in reclaimedJobs) }
        for (gang in candidates.sortedWith(compareBy({ it.lostWorkMs }, { it.jobId.value }))) {
            gang.members.map { it.worker }.distinct().forEach { worker ->
                steps.add(1)
                gangsAt.getOrPut(worker) { mutableListOf() } += gang
            }
        }
        candidates.filter { it.jobId in reclaimedJobs }.forEach(::expect)
        val free = fleet.workers.associate { it.id to it.free }
        consumePending(fleet.reclaims.flatMap { it.members }) { free[it] ?: 0 }
    }

    /** Usable workers, ordered by the least work that stopping one of their gangs loses. */
    private val cheapestFirst =
        usable.map { it.id }.sortedWith(compareBy({ gangsAt[it]?.first()?.lostWorkMs ?: 0L }, { it.value }))

    private fun expect(gang: PlacedGang) {
        gang.members.forEach { pendingFree.merge(it.worker, it.accelerators, Int::plus) }
    }

    private fun consumePending(
        members: List<PlacementMember>,
        free: (WorkerId) -> Int,
    ) {
        members.groupBy { it.worker }.forEach { (worker, all) ->
            val beyondFree = (all.sumOf { it.accelerators } - free(worker)).coerceAtLeast(0)
            pendingFree.merge(worker, -beyondFree, Int::plus)
        }
    }

    /**
     * Plans a reclaim for [job], or returns null.
     *
     * @param requiredCandidates workers that are always considered, besides those with the least work to lose.
     * @param allowance accelerators of a worker that the job may use once their current users are stopped.
     * @param isVictim whether a gang may be stopped for the job.
     */
    fun plan(
        job: WaitingJob,
        requiredCandidates: Collection<WorkerId>,
        allowance: (WorkerId) -> Int,
        isVictim: (PlacedGang) -> Boolean,
    ): PlannedReclaim? {
        val candidateLimit = maxOf(MIN_CANDIDATES, job.gang.members * CANDIDATES_PER_MEMBER)
        val candidates = (requiredCandidates + cheapestFirst.take(candidateLimit)).distinct()
        val groups =
            when (job.gang.adjacency) {
                Adjacency.WORKER -> candidates.map(::listOf)
                Adjacency.RACK -> candidates.mapNotNull { rackOf[it] }.distinct().map { racks.getValue(it) }
                Adjacency.DATA_CENTRE -> listOf(candidates)
            }
        val chosen =
            groups
                .mapNotNull { group ->
                    assignMembers(job, group.filter { it !in job.excludedWorkers }, allowance, isVictim)
                }.minByOrNull { options -> options.flatMap { it.victims }.distinct().sumOf { it.lostWorkMs } }
                ?: return null
        val victims = chosen.flatMap { it.victims + it.awaited }.mapTo(LinkedHashSet()) { it.jobId }
        chosen
            .flatMap { it.victims }
            .distinct()
            .filter { reclaimedJobs.add(it.jobId) }
            .forEach(::expect)
        val members = chosen.map { PlacementMember(it.worker, job.gang.acceleratorsPerMember) }
        consumePending(members, space::free)
        return PlannedReclaim(job.jobId, job.workspace, members, victims.toList())
    }

    private fun assignMembers(
        job: WaitingJob,
        group: List<WorkerId>,
        allowance: (WorkerId) -> Int,
        isVictim: (PlacedGang) -> Boolean,
    ): List<WorkerOption>? {
        val size = job.gang.acceleratorsPerMember
        val queue = PriorityQueue(compareBy<WorkerOption>({ it.cost }, { it.worker.value }))
        val chosen = mutableListOf<WorkerOption>()
        val stopped = HashSet<JobId>()
        group.forEach { worker ->
            steps.add(1)
            if (allowance(worker) >= size) findOption(worker, 1, size, stopped, isVictim)?.let(queue::add)
        }
        while (chosen.size < job.gang.members) {
            val best = queue.poll() ?: return null
            chosen += best
            stopped += best.victims.map { it.jobId }
            val next = best.members + 1
            if (allowance(best.worker) >= next * size) {
                findOption(best.worker, next, next * size, stopped, isVictim)?.let(queue::add)
            }
        }
        return chosen
    }

    private fun findOption(
        worker: WorkerId,
        members: Int,
        need: Int,
        stopped: Set<JobId>,
        isVictim: (PlacedGang) -> Boolean,
    ): WorkerOption? {
        val runningGangs = gangsAt[worker].orEmpty().filter { it.jobId !in reclaimedJobs }
        var free =
            space.free(worker) + (pendingFree[worker] ?: 0) +
                runningGangs.filter { it.jobId in stopped }.sumOf { it.acceleratorsOn(worker) }
        val victims = mutableListOf<PlacedGang>()
        for (gang in runningGangs) {
            if (free >= need) break
            steps.add(1)
            if (gang.jobId in stopped || !isVictim(gang)) continue
            victims += gang
            free += gang.acceleratorsOn(worker)
        }
        if (free < need) return null
        val awaited =
            if (space.free(worker) <
                need
            ) {
                gangsAt[worker].orEmpty().filter { it.jobId in reclaimedJobs }
            } else {
                emptyList()
            }
        return WorkerOption(worker, members, dropRedundant(victims, worker, free - need), awaited)
    }

    /**
     * Removes victims that are no longer needed because a later one frees enough accelerators. Those that lose the most
     * work are removed first.
     */
    private fun dropRedundant(
        victims: List<PlacedGang>,
        worker: WorkerId,
        excess: Int,
    ): List<PlacedGang> {
        var remaining = excess
        return victims
            .asReversed()
            .filter { gang ->
                val isRedundant = gang.acceleratorsOn(worker) <= remaining
                if (isRedundant) remaining -= gang.acceleratorsOn(worker)
                !isRedundant
            }.asReversed()
    }

    private fun PlacedGang.acceleratorsOn(worker: WorkerId): Int =
        members.filter { it.worker == worker }.sumOf { it.accelerators }

    private companion object {
        // Limits the workers considered for a reclaim: with all workers of a large fleet, the cost of a pass would be
        // quadratic.
        const val MIN_CANDIDATES = 64
        const val CANDIDATES_PER_MEMBER = 2
    }
}
