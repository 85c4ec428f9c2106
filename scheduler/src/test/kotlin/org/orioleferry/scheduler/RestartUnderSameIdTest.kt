package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class RestartUnderSameIdTest {
    // Guards against tasks that run twice because an acknowledgement for the incarnation before discards the ends of the
    // new one, which are numbered from 1 again (TWICE, soak seed 624 and review/3).
    @Test
    fun `should not acknowledge ends to a later incarnation of the worker`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 1) { _, _ -> Outcome(150) }
            cluster.workers.values.forEach { it.listingLagMs = 800 }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            val step = StepSpec(3, SimulatedCluster.ONE_ACCELERATOR, 150)
            launch {
                repeat(JOBS) {
                    cluster.submit(one, "job-$it", "routine", step)
                    delay(110)
                }
            }
            val worker = cluster.workers.getValue("w0")
            // Of different length, so that some orders arrive before the next renewal.
            repeat(10) { cut ->
                delay(3_000)
                worker.isReachable = false
                delay(1_000L + 150 * cut)
                worker.crash()
                worker.isReachable = true
            }
            delay(15_000)
            expectThat(cluster.records.violations).isEmpty()
            repeat(JOBS) { expectThat(cluster.stateOf(one, "job-$it")).isEqualTo(JobState.COMPLETED) }
        }

    // Guards against ends that are never acknowledged since the store takes longer than an answer counts as recent.
    @Test
    fun `should acknowledge ends although their rows are stored slowly`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 1) { _, _ -> Outcome(1_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            one.store.answerMs = 450
            cluster.submit(one, "a", "routine", StepSpec(8, SimulatedCluster.ONE_ACCELERATOR, 1_000))
            delay(15_000)
            val calls = one.link.callCount
            delay(10_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(one.link.callCount).isEqualTo(calls)
        }

    private companion object {
        const val JOBS = 300
    }
}
