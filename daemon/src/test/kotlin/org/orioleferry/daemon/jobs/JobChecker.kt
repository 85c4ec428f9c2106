package org.orioleferry.daemon.jobs

import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.platform.Execution

/** Checks the executions that the workers recorded, independently of the job rows and of the code under test. */
internal class JobChecker(
    private val simulation: JobSimulation,
) {
    private val nowMs = simulation.clock.monotonicMs()
    private val boundMs = simulation.settings.taskLeaseTtlMs + 1_000
    private val executions = simulation.workers.flatMap { it.executions() }.filter { it.kind == "task" }

    /** Describes each violated rule; an empty list means that there is none. */
    suspend fun findViolations(jobs: List<JobRecord>): List<String> =
        jobs.flatMap { violationsOf(simulation.row(it)) } +
            simulation.workers.flatMap { it.status().leases }.map { "lease ${it.leaseId} is still ${it.state}" }

    private fun violationsOf(job: JobRecord): List<String> {
        val attempts =
            executions
                .filter { it.jobId == job.jobId.value }
                .groupBy { it.id.substringBeforeLast('-') }
                .values
        val completeRuns =
            attempts.count { tasks -> tasks.size == job.gang.members && tasks.all { it.outcome == "done" } }
        return listOfNotNull(
            "${job.jobId} did not end: state ${job.state}, reason ${job.reason}".takeIf { !job.state.isFinal },
            "${job.jobId} ran to completion $completeRuns times".takeIf { completeRuns > 1 },
            "${job.jobId} is done although no attempt completed on all members"
                .takeIf { job.state == JobState.DONE && completeRuns == 0 },
            "${job.jobId} failed without a reason".takeIf { job.state == JobState.FAILED && job.reason == null },
        ) + attempts.mapNotNull { tasks -> findPartialRun(job, tasks) }
    }

    private fun findPartialRun(
        job: JobRecord,
        tasks: List<Execution>,
    ): String? {
        val times = tasks.flatMap { listOf(it.startedMs, it.endedMs ?: nowMs) }.distinct().sorted()
        var partialMs = 0L
        for ((from, to) in times.zipWithNext()) {
            val running = tasks.count { it.startedMs <= from && (it.endedMs ?: nowMs) > from }
            val done = tasks.count { it.outcome == "done" && (it.endedMs ?: nowMs) <= from }
            val isPartial = running > 0 && running + done < job.gang.members
            partialMs = if (isPartial) partialMs + to - from else 0
            if (partialMs > boundMs) return "${job.jobId} ran partially for $partialMs ms"
        }
        return null
    }
}
