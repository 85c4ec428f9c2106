package org.orioleferry.bench.check

import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.platform.Execution

/** Violations of the execution guarantees of jobs; in a correct run all lists but [unfinished] are empty. */
internal data class JobVerdict(
    val accepted: Int,
    val done: Int,
    val reported: Int,
    val unfinished: List<String>,
    val partialGangs: List<String>,
    val ranTwice: List<String>,
    val doneWithoutExecution: List<String>,
    val longestPartialMs: Long,
) {
    val violations: Int get() = partialGangs.size + ranTwice.size + doneWithoutExecution.size
}

/** Checks rows of accepted jobs against the executions on the workers; gangs may be partial for at most [boundMs]. */
internal fun checkJobs(
    jobs: List<JobRecord>,
    executions: List<Execution>,
    boundMs: Long,
    nowMs: Long,
): JobVerdict {
    val tasks = executions.filter { it.kind == "task" }.groupBy { it.jobId }

    fun attemptsOf(job: JobRecord) = tasks[job.jobId.value].orEmpty().groupBy { it.attempt }
    val partial = jobs.associate { job -> job.jobId to attemptsOf(job).values.maxOfOrNull { job.partialMs(it, nowMs) } }
    val complete = jobs.associate { job -> job.jobId to attemptsOf(job).values.count { job.isComplete(it) } }
    return JobVerdict(
        accepted = jobs.size,
        done = jobs.count { it.state == JobState.DONE },
        reported = jobs.count { it.state == JobState.FAILED || it.state == JobState.CANCELLED },
        unfinished = jobs.filterNot { it.state.isFinal }.map { "${it.jobId} ${it.state}" },
        partialGangs = partial.filterValues { (it ?: 0) > boundMs }.map { (job, ms) -> "$job for $ms ms" },
        ranTwice = complete.filterValues { it > 1 }.map { (job, times) -> "$job $times times" },
        doneWithoutExecution =
            jobs.filter { it.state == JobState.DONE && complete[it.jobId] == 0 }.map { it.jobId.value },
        longestPartialMs = partial.values.filterNotNull().maxOrNull() ?: 0,
    )
}

private fun JobRecord.isComplete(tasks: List<Execution>): Boolean = tasks.count { it.outcome == "done" } == gang.members

/** Longest uninterrupted time in milliseconds during which some, but not all, members of the gang ran. */
private fun JobRecord.partialMs(
    tasks: List<Execution>,
    nowMs: Long,
): Long {
    val intervals = tasks.map { it.startedMs to (it.endedMs ?: nowMs) }
    val times = intervals.flatMap { (start, end) -> listOf(start, end) }.distinct().sorted()
    var longestMs = 0L
    var currentMs = 0L
    times.zipWithNext().forEach { (from, to) ->
        val running = intervals.count { (start, end) -> start <= from && end >= to }
        currentMs = if (running in 1 until gang.members) currentMs + (to - from) else 0
        longestMs = maxOf(longestMs, currentMs)
    }
    return longestMs
}
