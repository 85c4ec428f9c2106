package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

/** The number of waiting jobs that callers see counts every job that has not begun. */
class PendingJobsTest {
    // Guards against jobs that are left out of the number of waiting ones although their starts were lost on the way to a
    // worker that is cut off (PendingUnbegun of the independent review).
    @Test
    fun `should count jobs as waiting whose starts have no answer`() =
        runTest {
            val (cluster, one, two) = cutOffWorkerWithJobs()
            expectThat(one.jobApi.queueLength("routine")).isEqualTo(JOBS)
            one.kill()
            delay(6_000)
            expectThat(two.isOwner).isEqualTo(true)
            expectThat(two.jobApi.queueLength("routine")).isEqualTo(JOBS)
            expectThat(cluster.records.runs).hasSize(0)
        }

    // Guards against jobs that go on being counted as waiting after their runs have begun, also after a takeover.
    @Test
    fun `should count no job as waiting once its run has begun`() =
        runTest {
            val (cluster, one, two) = cutOffWorkerWithJobs()
            cluster.workers.values.forEach { it.isReachable = true }
            delay(8_000)
            expectThat(cluster.records.runs).hasSize(JOBS)
            expectThat(one.jobApi.queueLength("routine")).isEqualTo(0)
            one.kill()
            delay(6_000)
            expectThat(two.isOwner).isEqualTo(true)
            expectThat(two.jobApi.queueLength("routine")).isEqualTo(0)
        }

    private suspend fun TestScope.cutOffWorkerWithJobs(): Triple<
        SimulatedCluster,
        SimulatedCluster.Instance,
        SimulatedCluster.Instance,
    > {
        val cluster = SimulatedCluster(this, workers = 1) { _, _ -> Outcome(60_000) }
        val one = cluster.Instance("one").also { it.start() }
        delay(500)
        val two = cluster.Instance("two").also { it.start() }
        cluster.workers.values.forEach { it.isReachable = false }
        repeat(JOBS) { cluster.submit(two, "a$it", "routine", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 60_000)) }
        delay(4_000)
        return Triple(cluster, one, two)
    }

    private companion object {
        const val JOBS = 8
    }
}
