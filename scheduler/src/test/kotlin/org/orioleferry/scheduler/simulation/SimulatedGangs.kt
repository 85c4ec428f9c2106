package org.orioleferry.scheduler.simulation

import org.orioleferry.scheduler.workers.RunEnding
import org.orioleferry.scheduler.workers.RunId
import org.orioleferry.scheduler.workers.TaskId

/**
 * Tracks the members of gangs over all workers. Members work only once all members of the same attempt are present, and
 * end together.
 *
 * @param widthOf number of members of the gang of a task, 0 when it belongs to none.
 */
class SimulatedGangs(
    private val widthOf: (TaskId) -> Int,
) {
    private data class Gang(
        val job: String,
        val occurrence: Int,
        val step: Int,
        val attempt: Int,
    )

    private val present = HashMap<Gang, LinkedHashMap<RunId, SimulatedWorker>>()

    fun isMember(run: RunId): Boolean = widthOf(run.task) > 0

    fun arrived(
        run: RunId,
        worker: SimulatedWorker,
    ) {
        if (isMember(run)) present.getOrPut(gangOf(run)) { LinkedHashMap() }[run] = worker
    }

    /** Whether all members of the attempt of [run] are present. */
    fun isWhole(run: RunId): Boolean = !isMember(run) || present[gangOf(run)]?.size == widthOf(run.task)

    /** Ends the other members of the gang of [run]: as done if [run] is done, else as broken. */
    fun ended(
        run: RunId,
        ending: RunEnding,
    ) {
        val gang = present[gangOf(run)] ?: return
        if (gang.remove(run) == null) return
        val others = if (ending == RunEnding.DONE) RunEnding.DONE else RunEnding.BROKEN
        // A member that gave up waiting does not end those that still wait.
        if (ending == RunEnding.ALONE) return
        present.remove(gangOf(run))
        gang.forEach { (member, worker) -> worker.end(member, others) }
    }

    private fun gangOf(run: RunId) = Gang(run.task.job, run.task.occurrence, run.task.step, run.attempt)
}
