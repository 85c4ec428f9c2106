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
    /** A full fleet of borrowers that have run for [ranMs]. */
    private suspend fun TestScope.fullFleet(
        world: JobWorld,
        ranMs: Long,
    ): List<JobRecord> {
        world.startOwner()
        delay(1_500)
        val jobs = List(world.workers.size) { world.submit(world.gang(1, 8), 300_000, workspace = sheds) }
        delay(ranMs)
        return jobs
    }

    private fun JobWorld.startedMs(job: JobRecord): Long? =
        events
            .find { (_, type, attributes) -> type == EventType.JOB_RUNNING && attributes["job"] == job.jobId.value }
            ?.first

    // Guards against urgent work that waits for borrowers which ignore the request to checkpoint.
    @Test
    fun `urgent work should start within 4 s on a full fleet of borrowers that ignore checkpoints`() =
        runTest(timeout = 5.minutes) {
            val world = JobWorld(this, workerCount = 12)
            world.guarantee(audit, count = 3)
            world.workers.forEach { world.behaviours[it.specification.id] = WorkerBehaviour(ignoresCheckpoints = true) }
            val borrowers = fullFleet(world, 20_000)
            // Each answer to a checkpoint is also late, so that the whole grace passes.
            world.callFault = { call ->
                if (call.kind == WorkerCallKind.CHECKPOINT) delay(5_000)
                CallFault.NONE
            }
            val submittedMs = world.clock.monotonicMs()
            val urgent = world.submit(world.gang(3, 8), 10_000, urgentClass, audit)
            delay(6_000)
            val startMs = world.startedMs(urgent)?.minus(submittedMs)
            expectThat(startMs).isNotNull().isLessThan(4_000)
            println("urgent start with ignored checkpoints: $startMs ms")
            delay(700_000)
            expectThat(JobChecker(world).faults(borrowers + urgent)).isEmpty()
            world.close()
        }

    // Guards against one reclaim that waits for another, or takes the capacity that it freed.
    @Test
    fun `two workspaces should reclaim at the same time`() =
        runTest(timeout = 5.minutes) {
            val world = JobWorld(this, workerCount = 12)
            world.guarantee(audit, count = 4)
            world.guarantee(refills, count = 4)
            val borrowers = fullFleet(world, 20_000)
            val submittedMs = world.clock.monotonicMs()
            val urgent =
                listOf(audit, refills).flatMap { name ->
                    List(4) { world.submit(world.gang(1, 8), 9_000, urgentClass, name) }
                }
            delay(5_000)
            val startMs = urgent.map { world.startedMs(it)?.minus(submittedMs) ?: Long.MAX_VALUE }
            expectThat(startMs.max()).isLessThan(4_000)
            println("urgent start of two workspaces: $startMs ms")
            delay(700_000)
            expectThat(JobChecker(world).faults(borrowers + urgent)).isEmpty()
            world.close()
        }

    // Guards against a preempted job that begins anew although its checkpoint kept the work.
    @Test
    fun `a preempted job should go on from its checkpoint`() =
        runTest(timeout = 5.minutes) {
            val world = JobWorld(this, workerCount = 2)
            world.guarantee(audit, count = 1)
            val borrowers = fullFleet(world, 100_000)
            world.submit(world.gang(1, 8), 10_000, urgentClass, audit)
            delay(3_000)
            val preempted = borrowers.map { world.row(it) }.single { it.state == JobState.QUEUED }
            expectThat(preempted.completedMs).isGreaterThanOrEqualTo(99_000)
            delay(230_000)
            expectThat(borrowers.map { world.row(it).state }.distinct()).isEqualTo(listOf(JobState.DONE))
            world.close()
        }

    // Guards against a dead worker that holds up urgent work for which it was chosen.
    @Test
    fun `a reclaim should move on from a worker that does not answer`() =
        runTest(timeout = 5.minutes) {
            val world = JobWorld(this, workerCount = 6)
            world.guarantee(audit, count = 2)
            fullFleet(world, 20_000)
            var frozen: String? = null
            world.callFault = { call ->
                if (call.kind == WorkerCallKind.CHECKPOINT && frozen == null) frozen = call.worker.value
                if (call.worker.value == frozen) CallFault.FAIL else CallFault.NONE
            }
            val submittedMs = world.clock.monotonicMs()
            val urgent = world.submit(world.gang(1, 8), 10_000, urgentClass, audit)
            delay(8_000)
            val startMs = world.startedMs(urgent)?.minus(submittedMs)
            println("urgent start beside a dead worker: $startMs ms")
            expectThat(startMs).isNotNull().isLessThan(4_000).isGreaterThan(0)
            world.close()
        }
}
