package org.orioleferry.daemon.jobs

import org.orioleferry.core.Clock
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.placement.PlacementWorker
import org.orioleferry.core.placement.PlannedReclaim
import org.orioleferry.core.placement.PlannedStart

/** Reclaims in progress of one domain: victims are being stopped, and their accelerators are held for beneficiaries. */
internal class Reclaims(
    private val clock: Clock,
    private val limitMs: Long,
) {
    private val active = LinkedHashMap<JobId, Pair<PlannedReclaim, Long>>()

    val plans: List<PlannedReclaim> get() = active.values.map { it.first }

    fun add(reclaim: PlannedReclaim) {
        active[reclaim.beneficiary] = reclaim to clock.monotonicMs() + limitMs
    }

    /**
     * Starts whose accelerators are free now. Gives up a reclaim whose beneficiary no longer waits, whose worker is no
     * longer usable or that takes too long, so that the next pass plans it anew elsewhere.
     */
    fun ready(
        workers: List<PlacementWorker>,
        isWaiting: (JobId) -> Boolean,
    ): List<PlannedStart> {
        val free = workers.filter { it.isUsable }.associateTo(HashMap()) { it.id to it.free }
        active.values.removeIf { (reclaim, limit) ->
            val isPossible = reclaim.members.all { it.worker in free } && isWaiting(reclaim.beneficiary)
            !isPossible || clock.monotonicMs() > limit
        }
        val ready = plans.filter { reclaim -> take(reclaim, free) }
        ready.forEach { active.remove(it.beneficiary) }
        return ready.map { PlannedStart(it.beneficiary, it.members) }
    }

    private fun take(
        reclaim: PlannedReclaim,
        free: MutableMap<WorkerId, Int>,
    ): Boolean {
        val needed = reclaim.members.groupingBy { it.worker }.fold(0) { sum, member -> sum + member.accelerators }
        if (needed.any { (worker, amount) -> free.getValue(worker) < amount }) return false
        needed.forEach { (worker, amount) -> free.merge(worker, -amount, Int::plus) }
        return true
    }
}
