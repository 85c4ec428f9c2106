package org.orioleferry.daemon.jobs

import org.orioleferry.core.Clock
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.placement.PlacementWorker
import org.orioleferry.core.placement.PlannedReclaim
import org.orioleferry.core.placement.PlannedStart

/** Reclaims in progress of one domain. Reserves the accelerators of stopping victims for the beneficiaries. */
internal class Reclaims(
    private val clock: Clock,
    private val timeoutMs: Long,
) {
    private val active = LinkedHashMap<JobId, Pair<PlannedReclaim, Long>>()

    val plans: List<PlannedReclaim> get() = active.values.map { it.first }

    fun add(reclaim: PlannedReclaim) {
        active[reclaim.beneficiary] = reclaim to clock.monotonicMs() + timeoutMs
    }

    /**
     * Removes and returns the starts whose accelerators are free now. Drops a reclaim whose beneficiary no longer
     * waits, whose worker is no longer usable or whose deadline has passed, so that the next pass plans it elsewhere.
     */
    fun takeReady(
        workers: List<PlacementWorker>,
        isWaiting: (JobId) -> Boolean,
    ): List<PlannedStart> {
        val free = workers.filter { it.isUsable }.associateTo(HashMap()) { it.id to it.free }
        active.values.removeIf { (reclaim, deadlineMs) ->
            val isPossible = reclaim.members.all { it.worker in free } && isWaiting(reclaim.beneficiary)
            !isPossible || clock.monotonicMs() > deadlineMs
        }
        val ready = plans.filter { reclaim -> tryAllocate(reclaim, free) }
        ready.forEach { active.remove(it.beneficiary) }
        return ready.map { PlannedStart(it.beneficiary, it.members) }
    }

    private fun tryAllocate(
        reclaim: PlannedReclaim,
        free: MutableMap<WorkerId, Int>,
    ): Boolean {
        val needed = reclaim.members.groupingBy { it.worker }.fold(0) { sum, member -> sum + member.accelerators }
        if (needed.any { (worker, amount) -> free.getValue(worker) < amount }) return false
        needed.forEach { (worker, amount) -> free.merge(worker, -amount, Int::plus) }
        return true
    }
}
