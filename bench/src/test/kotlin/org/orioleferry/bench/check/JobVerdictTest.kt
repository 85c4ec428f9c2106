package org.orioleferry.bench.check

import org.junit.jupiter.api.Test
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.platform.Execution
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

class JobVerdictTest {
    private val job =
        JobRecord(
            jobId = JobId("a.1"),
            workspace = WorkspaceName("sheds"),
            caller = "planner",
            jobClass = JobClassName("reprint"),
            gang = Gang(2, 8),
            declaredRunMs = 100,
            workMs = 100,
            submittedWallMs = 0,
            state = JobState.DONE,
        )

    // Guards against a checker that reports violations in a correct run.
    @Test
    fun `should find no violation when the whole gang ran`() {
        expectThat(verdict(task("l1", 0, 100), task("l2", 3, 103)).violations).isEqualTo(0)
    }

    // Guards against a checker that misses a gang of which one member ran alone for too long.
    @Test
    fun `should count a gang that is partial for longer than the bound`() {
        val verdict = verdict(task("l1", 0, 100), task("l2", 60, 100))
        expectThat(verdict.partialGangs).hasSize(1)
        expectThat(verdict.longestPartialMs).isEqualTo(60)
    }

    // Guards against a checker that misses a job with two complete attempts.
    @Test
    fun `should count a job that ran to its end twice`() {
        val second = listOf(task("l3", 200, 300, attempt = 2), task("l4", 200, 300, attempt = 2))
        val verdict = verdict(task("l1", 0, 100), task("l2", 0, 100), *second.toTypedArray())
        expectThat(verdict.ranTwice).hasSize(1)
    }

    // Guards against a checker that misses a job in state DONE of which no attempt ran completely.
    @Test
    fun `should count a job that is done without a complete attempt`() {
        expectThat(verdict(task("l1", 0, 100)).doneWithoutExecution).hasSize(1)
    }

    private fun verdict(vararg tasks: Execution) = checkJobs(listOf(job), tasks.toList(), boundMs = 50, nowMs = 1_000)

    private fun task(
        lease: String,
        startedMs: Long,
        endedMs: Long,
        attempt: Int = 1,
    ) = Execution(
        kind = "task",
        id = lease,
        jobId = "a.1",
        attempt = attempt,
        startedMs = startedMs,
        endedMs = endedMs,
        outcome = "done",
    )
}
