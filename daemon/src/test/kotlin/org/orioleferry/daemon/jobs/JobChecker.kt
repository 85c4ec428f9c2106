package org.orioleferry.daemon.jobs

import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.platform.Execution

/** Judges what the workers recorded, independently of the rows and of the code under test. */
internal class JobChecker(
    private val world: JobWorld,
) {
    private val nowMs = world.clock.monotonicMs()
    private val boundMs = world.settings.taskLeaseTtlMs + 1_000
    private val executions = world.workers.flatMap { it.executions() }.filter { it.kind == "task" }

    /** Everything that is wrong, in words. */
    suspend fun faults(jobs: List<JobRecord>): List<String> =
        jobs.flatMap { faultsOf(world.row(it)) } +
            world.workers.flatMap { it.status().leases }.map { "lease ${it.leaseId} is left ${it.state}" }

    private fun faultsOf(job: JobRecord): List<String> {
        val attempts =
            executions
                .filter { it.jobId == job.jobId.value }
                .groupBy { it.id.substringBeforeLast('-') }
                .values
        val whole = attempts.count { tasks -> tasks.size == job.gang.members && tasks.all { it.outcome == "done" } }
        return listOfNotNull(
            "${job.jobId} ends ${job.state}: ${job.reason}".takeIf { !job.state.isFinal },
            "${job.jobId} ran to its end $whole times".takeIf { whole > 1 },
            "${job.jobId} is done and never ran whole".takeIf { job.state == JobState.DONE && whole == 0 },
            "${job.jobId} failed without a reason".takeIf { job.state == JobState.FAILED && job.reason == null },
        ) + attempts.mapNotNull { tasks -> partial(job, tasks) }
    }

    private fun partial(
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
