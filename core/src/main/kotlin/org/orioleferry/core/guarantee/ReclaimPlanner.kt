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

/** A worker that could take one more member, the gangs to stop for it, and those that are being stopped already. */
private class Offer(
    val worker: WorkerId,
    val members: Int,
    val victims: List<PlacedGang>,
    val awaited: List<PlacedGang>,
) {
    val cost: Long = victims.sumOf { it.lostWorkMs }
}

/**
 * Chooses the gangs to stop for a job, least lost work first, one member of the job at a time. The choice is greedy:
 * a gang that spans several workers counts in full for each until it is chosen.
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
    private val taken = HashSet<JobId>()

    /** Accelerators of each worker that gangs chosen before will free and that no reclaim uses yet. */
    private val pending = HashMap<WorkerId, Int>()

    init {
        fleet.reclaims.forEach { taken += it.victims }
        val candidates = fleet.gangs.filter { it.isPreemptible && (!it.isStopping || it.jobId in taken) }
        for (gang in candidates.sortedWith(compareBy({ it.lostWorkMs }, { it.jobId.value }))) {
            gang.members.map { it.worker }.distinct().forEach { worker ->
                steps.add(1)
                gangsAt.getOrPut(worker) { mutableListOf() } += gang
            }
        }
        candidates.filter { it.jobId in taken }.forEach(::expect)
        val free = fleet.workers.associate { it.id to it.free }
        settle(fleet.reclaims.flatMap { it.members }) { free[it] ?: 0 }
    }

    /** Usable workers, the one whose first gang loses least in front. */
    private val cheapest =
        usable.map { it.id }.sortedWith(compareBy({ gangsAt[it]?.first()?.lostWorkMs ?: 0L }, { it.value }))

    private fun expect(gang: PlacedGang) {
        gang.members.forEach { pending.merge(it.worker, it.accelerators, Int::plus) }
    }

    private fun settle(
        members: List<PlacementMember>,
        free: (WorkerId) -> Int,
    ) {
        members.groupBy { it.worker }.forEach { (worker, all) ->
            val beyondFree = (all.sumOf { it.accelerators } - free(worker)).coerceAtLeast(0)
            pending.merge(worker, -beyondFree, Int::plus)
        }
    }

    /**
     * Plans a reclaim for [job], or returns null.
     *
     * @param near workers that are looked at in any case, besides the ones with the least work to lose.
     * @param allowance accelerators of a worker that the job may use once their present users are stopped.
     * @param isVictim whether a gang may be stopped for the job.
     */
    fun plan(
        job: WaitingJob,
        near: Collection<WorkerId>,
        allowance: (WorkerId) -> Int,
        isVictim: (PlacedGang) -> Boolean,
    ): PlannedReclaim? {
        val count = maxOf(LEAST_CANDIDATES, job.gang.members * CANDIDATES_PER_MEMBER)
        val candidates = (near + cheapest.take(count)).distinct()
        val groups =
            when (job.gang.adjacency) {
                Adjacency.WORKER -> candidates.map(::listOf)
                Adjacency.RACK -> candidates.mapNotNull { rackOf[it] }.distinct().map { racks.getValue(it) }
                Adjacency.DATA_CENTRE -> listOf(candidates)
            }
        val chosen =
            groups
                .mapNotNull { group -> assign(job, group.filter { it !in job.avoid }, allowance, isVictim) }
                .minByOrNull { offers -> offers.flatMap { it.victims }.distinct().sumOf { it.lostWorkMs } }
                ?: return null
        val victims = chosen.flatMap { it.victims + it.awaited }.mapTo(LinkedHashSet()) { it.jobId }
        chosen
            .flatMap { it.victims }
            .distinct()
            .filter { taken.add(it.jobId) }
            .forEach(::expect)
        val members = chosen.map { PlacementMember(it.worker, job.gang.acceleratorsPerMember) }
        settle(members, space::free)
        return PlannedReclaim(job.jobId, job.workspace, members, victims.toList())
    }

    private fun assign(
        job: WaitingJob,
        group: List<WorkerId>,
        allowance: (WorkerId) -> Int,
        isVictim: (PlacedGang) -> Boolean,
    ): List<Offer>? {
        val size = job.gang.acceleratorsPerMember
        val queue = PriorityQueue(compareBy<Offer>({ it.cost }, { it.worker.value }))
        val chosen = mutableListOf<Offer>()
        val stopped = HashSet<JobId>()
        group.forEach { worker ->
            steps.add(1)
            if (allowance(worker) >= size) offer(worker, 1, size, stopped, isVictim)?.let(queue::add)
        }
        while (chosen.size < job.gang.members) {
            val best = queue.poll() ?: return null
            chosen += best
            stopped += best.victims.map { it.jobId }
            val next = best.members + 1
            if (allowance(best.worker) >= next * size) {
                offer(best.worker, next, next * size, stopped, isVictim)?.let(queue::add)
            }
        }
        return chosen
    }

    private fun offer(
        worker: WorkerId,
        members: Int,
        need: Int,
        stopped: Set<JobId>,
        isVictim: (PlacedGang) -> Boolean,
    ): Offer? {
        val present = gangsAt[worker].orEmpty().filter { it.jobId !in taken }
        var free =
            space.free(worker) + (pending[worker] ?: 0) + present.filter { it.jobId in stopped }.sumOf { it.at(worker) }
        val victims = mutableListOf<PlacedGang>()
        for (gang in present) {
            if (free >= need) break
            steps.add(1)
            if (gang.jobId in stopped || !isVictim(gang)) continue
            victims += gang
            free += gang.at(worker)
        }
        if (free < need) return null
        val awaited =
            if (space.free(worker) <
                need
            ) {
                gangsAt[worker].orEmpty().filter { it.jobId in taken }
            } else {
                emptyList()
            }
        return Offer(worker, members, withoutNeedless(victims, worker, free - need), awaited)
    }

    /** Drops gangs that later, larger ones made needless, most lost work first. */
    private fun withoutNeedless(
        victims: List<PlacedGang>,
        worker: WorkerId,
        excess: Int,
    ): List<PlacedGang> {
        var left = excess
        return victims
            .asReversed()
            .filter { gang ->
                val isNeedless = gang.at(worker) <= left
                if (isNeedless) left -= gang.at(worker)
                !isNeedless
            }.asReversed()
    }

    private fun PlacedGang.at(worker: WorkerId): Int = members.filter { it.worker == worker }.sumOf { it.accelerators }

    private companion object {
        // A reclaim that looked at every worker of a large fleet would make the cost of a pass quadratic.
        const val LEAST_CANDIDATES = 64
        const val CANDIDATES_PER_MEMBER = 2
    }
}
