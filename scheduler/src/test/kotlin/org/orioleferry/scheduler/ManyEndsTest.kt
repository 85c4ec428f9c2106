package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.workers.RenewalResult
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class ManyEndsTest {
    private fun SimulatedCluster.listAtMost(ends: Int) = workers.values.forEach { it.maxListedEnds = ends }

    private val eight = StepSpec(8, SimulatedCluster.ONE_ACCELERATOR, 3_000)

    // Guards against tasks that run twice because a new owner takes the first part of a worker's ends for all of them
    // (TWICE on omotnica-split, review/2).
    @Test
    fun `should read all ends of a worker before tasks of an earlier owner start again`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 1) { _, _ -> Outcome(3_000) }
            cluster.listAtMost(3)
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", eight)
            delay(2_500)
            one.kill()
            val two = cluster.Instance("two").also { it.start() }
            delay(12_000)
            expectThat(cluster.records.runs).hasSize(8)
            expectThat(cluster.stateOf(two, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against tasks that run twice because more of them end at a time than a worker lists at once.
    @Test
    fun `should not take a run for gone while its end may not be listed yet`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 1) { _, _ -> Outcome(3_000) }
            cluster.listAtMost(3)
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", eight)
            delay(8_000)
            expectThat(cluster.records.runs).hasSize(8)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against tasks that run twice because the wait for earlier leases ends before the list of their ends.
    @Test
    fun `should not start tasks again when leases have expired while their ends are being listed`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 1) { _, _ -> Outcome(3_000) }
            cluster.listAtMost(1)
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", eight)
            delay(2_500)
            one.kill()
            val two = cluster.Instance("two").also { it.start() }
            // Longer in total than any lease of the earlier owner.
            two.link.answerDelayMs = { if (it is RenewalResult.Renewed && it.ends.isNotEmpty()) 2_000 else 0 }
            delay(60_000)
            expectThat(cluster.records.runs).hasSize(8)
            expectThat(cluster.stateOf(two, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
        }
}
