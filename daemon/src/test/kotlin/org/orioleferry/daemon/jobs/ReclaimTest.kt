package org.orioleferry.daemon.jobs

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.core.event.EventType
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.standins.CallFault
import org.orioleferry.standins.WorkerBehaviour
import org.orioleferry.standins.WorkerCallKind
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.minutes

class ReclaimTest {
    /** Fills the fleet with borrowers, lets them run for [runMs] and returns them. */
    private suspend fun TestScope.fillFleet(
        simulation: JobSimulation,
        runMs: Long,
    ): List<JobRecord> {
        simulation.startOwner()
        delay(1_500)
        val jobs =
            List(simulation.workers.size) { simulation.submit(simulation.gang(1, 8), 300_000, workspace = sheds) }
        delay(runMs)
        return jobs
    }

    private fun JobSimulation.startedMs(job: JobRecord): Long? =
        events
            .find { (_, type, attributes) -> type == EventType.JOB_RUNNING && attributes["job"] == job.jobId.value }
            ?.first

    // Guards against urgent work that waits too long for borrowers that ignore the request to checkpoint.
    @Test
    fun `urgent work should start within 4 s on a full fleet of borrowers that ignore checkpoints`() =
        runTest(timeout = 5.minutes) {
            val simulation = JobSimulation(this, workerCount = 12)
            simulation.guarantee(audit, count = 3)
            simulation.workers.forEach {
                simulation.behaviours[it.specification.id] = WorkerBehaviour(ignoresCheckpoints = true)
            }
            val borrowers = fillFleet(simulation, 20_000)
            // Each answer to a checkpoint is also late, so that the full grace period passes.
            simulation.callFault = { call ->
                if (call.kind == WorkerCallKind.CHECKPOINT) delay(5_000)
                CallFault.NONE
            }
            val submittedMs = simulation.clock.monotonicMs()
            val urgent = simulation.submit(simulation.gang(3, 8), 10_000, urgentClass, audit)
            delay(6_000)
            val startMs = simulation.startedMs(urgent)?.minus(submittedMs)
            expectThat(startMs).isNotNull().isLessThan(4_000)
            println("urgent start with ignored checkpoints: $startMs ms")
            delay(700_000)
            expectThat(JobChecker(simulation).findViolations(borrowers + urgent)).isEmpty()
            simulation.close()
        }

    // Guards against a reclaim that waits for another one, or that uses the capacity which the other one freed.
    @Test
    fun `two workspaces should reclaim at the same time`() =
        runTest(timeout = 5.minutes) {
            val simulation = JobSimulation(this, workerCount = 12)
            simulation.guarantee(audit, count = 4)
            simulation.guarantee(refills, count = 4)
            val borrowers = fillFleet(simulation, 20_000)
            val submittedMs = simulation.clock.monotonicMs()
            val urgent =
                listOf(audit, refills).flatMap { name ->
                    List(4) { simulation.submit(simulation.gang(1, 8), 9_000, urgentClass, name) }
                }
            delay(5_000)
            val startMs = urgent.map { simulation.startedMs(it)?.minus(submittedMs) ?: Long.MAX_VALUE }
            expectThat(startMs.max()).isLessThan(4_000)
            println("urgent start of two workspaces: $startMs ms")
            delay(700_000)
            expectThat(JobChecker(simulation).findViolations(borrowers + urgent)).isEmpty()
            simulation.close()
        }

    // Guards against a preempted job that restarts from the beginning although its checkpoint saved the progress.
    @Test
    fun `a preempted job should resume from its checkpoint`() =
        runTest(timeout = 5.minutes) {
            val simulation = JobSimulation(this, workerCount = 2)
            simulation.guarantee(audit, count = 1)
            val borrowers = fillFleet(simulation, 100_000)
            simulation.submit(simulation.gang(1, 8), 10_000, urgentClass, audit)
            delay(3_000)
            val preempted = borrowers.map { simulation.row(it) }.single { it.state == JobState.QUEUED }
            expectThat(preempted.completedMs).isGreaterThanOrEqualTo(99_000)
            delay(230_000)
            expectThat(borrowers.map { simulation.row(it).state }.distinct()).isEqualTo(listOf(JobState.DONE))
            simulation.close()
        }

    // Guards against an unresponsive worker that delays the urgent work for which it was chosen.
    @Test
    fun `a reclaim should choose another worker when one does not answer`() =
        runTest(timeout = 5.minutes) {
            val simulation = JobSimulation(this, workerCount = 6)
            simulation.guarantee(audit, count = 2)
            fillFleet(simulation, 20_000)
            var unresponsive: String? = null
            simulation.callFault = { call ->
                if (call.kind == WorkerCallKind.CHECKPOINT && unresponsive == null) unresponsive = call.worker.value
                if (call.worker.value == unresponsive) CallFault.FAIL else CallFault.NONE
            }
            val submittedMs = simulation.clock.monotonicMs()
            val urgent = simulation.submit(simulation.gang(1, 8), 10_000, urgentClass, audit)
            delay(8_000)
            val startMs = simulation.startedMs(urgent)?.minus(submittedMs)
            println("urgent start with an unresponsive worker: $startMs ms")
            expectThat(startMs).isNotNull().isLessThan(4_000).isGreaterThan(0)
            simulation.close()
        }
}
