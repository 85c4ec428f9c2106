package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.workers.RunEnding
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Workers that are taken away at short notice while they are busy, as many at a time (scale-1 of the large Tallyferry). */
class LeavingWorkersTest {
    private suspend fun TestScope.withdrawFirstWorker(
        workMs: Long,
        noticeMs: Long,
        isGang: Boolean = false,
    ): SimulatedCluster {
        val cluster = SimulatedCluster(this, workers = 3) { _, _ -> Outcome(workMs) }
        val one = cluster.Instance("one").also { it.start() }
        delay(500)
        cluster.submit(one, "a", "routine", StepSpec(12, SimulatedCluster.ONE_ACCELERATOR, workMs, isGang = isGang))
        delay(3_000)
        val worker =
            cluster.workers.getValue(
                cluster.records.runs
                    .first()
                    .worker,
            )
        worker.isDraining = true
        worker.leavesAtMs = cluster.clock.monotonicMs() + noticeMs
        delay(noticeMs)
        // It goes without a word: its entry lapses later, and nothing tells that its runs are over.
        worker.crash()
        worker.isReachable = false
        delay(workMs + 1_500)
        expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
        expectThat(cluster.records.violations).isEmpty()
        return cluster
    }

    // Guards against tasks that start again only when the leases of a worker that has left have expired: 136 runs of one
    // day waited for 8 s.
    @Test
    fun `should start the tasks of a worker elsewhere before it leaves`() =
        runTest {
            val cluster = withdrawFirstWorker(workMs = 8_000, noticeMs = 1_700)
            val restarted = cluster.records.runs.filter { it.run.attempt == 2 }
            expectThat(restarted).all { get { beganMs }.isLessThan(3_500 + 1_700) }
        }

    @Test
    fun `should start a whole gang elsewhere before the worker of a member leaves`() =
        runTest {
            val cluster = withdrawFirstWorker(workMs = 8_000, noticeMs = 2_000, isGang = true)
            val attempts = cluster.records.runs.groupBy { it.run.attempt }
            expectThat(attempts.mapValues { it.value.size }).isEqualTo(mapOf(1 to 12, 2 to 12))
        }

    // Guards against stopping work that ends in time.
    @Test
    fun `should leave runs alone that end before their worker leaves`() =
        runTest {
            val cluster = withdrawFirstWorker(workMs = 4_000, noticeMs = 2_000)
            expectThat(cluster.records.runs.map { it.ending }).isEqualTo(List(12) { RunEnding.DONE })
        }
}
