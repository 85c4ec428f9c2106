package org.orioleferry.scheduler.simulation

import org.orioleferry.scheduler.workers.RunEnding
import org.orioleferry.scheduler.workers.RunId
import org.orioleferry.scheduler.workers.StartOrder
import org.orioleferry.scheduler.workers.TaskId

/** Records the runs on all simulated workers and the scheduling guarantees that they violate. */
class RunRecords {
    data class RunRecord(
        val run: RunId,
        val worker: String,
        val beganMs: Long,
        var endedMs: Long? = null,
        var ending: RunEnding? = null,
    )

    val runs = ArrayList<RunRecord>()
    val violations = ArrayList<String>()
    private val acknowledgedRuns = HashSet<RunId>()

    /** Number of workers that each task has crashed. */
    val crashesByTask = HashMap<TaskId, Int>()
    private val startsAfterThirdCrash = HashMap<TaskId, Int>()

    /** Returns the tasks that must be done before a task starts. Set by tests, as is [maxAttempts]. */
    var stepsBefore: (TaskId) -> List<TaskId> = { emptyList() }
    var maxAttempts = 3

    /** Whether a task is restarted however often its runs end, until its job is cancelled. */
    var isLasting: (TaskId) -> Boolean = { false }

    fun started(
        order: StartOrder,
        worker: String,
        nowMs: Long,
    ) {
        val task = order.run.task
        val earlier = runs.filter { it.run.task == task }
        if (earlier.any { it.endedMs == null }) {
            violations +=
                "$nowMs ms: two runs of $task at the same time, on $worker"
        }
        if (!isLasting(task) && earlier.any { it.ending == RunEnding.DONE && it.run in acknowledgedRuns }) {
            violations +=
                "$nowMs ms: $task starts after it was done"
        }
        if (!isLasting(task) &&
            earlier.count { it.ending == RunEnding.FAILED && it.run in acknowledgedRuns } >= maxAttempts
        ) {
            violations += "$nowMs ms: $task has no attempts left"
        }
        if ((crashesByTask[task] ?: 0) >= 3 && startsAfterThirdCrash.merge(task, 1, Int::plus) == 3) {
            violations += "$nowMs ms: $task starts three times more after three workers have crashed under it"
        }
        stepsBefore(task).forEach { before ->
            if (runs.none { it.run.task == before && it.ending == RunEnding.DONE }) {
                violations +=
                    "$nowMs ms: $task starts before $before is done"
            }
        }
        runs += RunRecord(order.run, worker, nowMs)
    }

    fun ended(
        run: RunId,
        worker: String,
        ending: RunEnding,
        nowMs: Long,
    ) {
        val record = runs.last { it.run == run && it.worker == worker }
        record.endedMs = nowMs
        record.ending = ending
    }

    /** The start of [run] has brought the [worker] over its capacity. */
    fun overCapacity(
        run: RunId,
        worker: String,
        nowMs: Long,
    ) {
        violations += "$nowMs ms: the start of $run brings $worker over its capacity"
    }

    /** [task] has crashed its worker. */
    fun crashed(task: TaskId) {
        crashesByTask.merge(task, 1, Int::plus)
    }

    fun acknowledged(
        run: RunId,
        ending: RunEnding,
    ) {
        if (ending == RunEnding.DONE || ending == RunEnding.FAILED) acknowledgedRuns += run
    }

    fun runsOf(job: String): List<RunRecord> = runs.filter { it.run.task.job == job }
}
