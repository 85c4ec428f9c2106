package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.callers.LookupResult
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.SimulatedCluster
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class StateQueryTest {
    // Guards against a question for a job's state that is refused after two lost reads, long before its caller stops
    // waiting, while acceptances and cancellations with the same losses are answered.
    @Test
    fun `should answer a question for a state whose first reads are lost`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val instance = cluster.Instance("a").also { it.start() }
            delay(SETTLE_MS)
            cluster.submit(instance, "job", "routine", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 1_000))
            delay(SETTLE_MS)
            instance.store.readAnswersToLose = 4
            expectThat(cluster.stateOf(instance, "job")).isEqualTo(JobState.COMPLETED)
        }

    // Guards against a caller that is kept waiting by an instance which the store does not answer.
    @Test
    fun `should refuse at once when the store does not answer the instance`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val instance = cluster.Instance("a").also { it.start() }
            delay(SETTLE_MS)
            instance.store.isUnavailable = true
            delay(SETTLE_MS)
            val askedMs = cluster.clock.monotonicMs()
            expectThat(instance.jobApi.state("job", "team")).isA<LookupResult.Unavailable>()
            expectThat(cluster.clock.monotonicMs() - askedMs).isLessThan(20)
        }

    private companion object {
        const val SETTLE_MS = 3_000L
    }
}
