package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.AdviceLatency
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.workers.AdviceResult
import org.orioleferry.scheduler.workers.StepId
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class AdviceTest {
    private fun TestScope.clusterWithAdvice(
        workers: Int,
        answer: (List<String>) -> AdviceResult,
    ): SimulatedCluster {
        val cluster = SimulatedCluster(this, workers)
        val queues = cluster.manifest.queues.map { it.copy(advice = AdviceLatency(20, 2)) }
        cluster.manifest = cluster.manifest.copy(queues = queues)
        cluster.workers.values.forEach { worker -> worker.ticketFor = { "ticket-${worker.id}" } }
        cluster.advice = { _: StepId, asked -> answer(asked) }
        return cluster
    }

    private fun allow(workers: List<String>) = AdviceResult.Allowed(workers.associateWith { "ticket-$it" }, VALID_MS)

    // Guards against starts on workers that the queue's policy does not allow, and against starts without a ticket.
    @Test
    fun `should start a step with a ticket on allowed workers only`() =
        runTest {
            val cluster = clusterWithAdvice(4) { asked -> allow(asked.filter { it == "w2" }) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", StepSpec(3, SimulatedCluster.ONE_ACCELERATOR, 1_000))
            delay(3_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.runsOf("a").filter { it.worker != "w2" }).isEmpty()
        }

    // Guards against a step that waits forever because the first workers asked about are not allowed.
    @Test
    fun `should ask about further workers when the first ones are not enough`() =
        runTest {
            val cluster = clusterWithAdvice(70) { asked -> allow(asked.filter { it == "w69" }) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 1_000))
            delay(4_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
        }

    // Guards against a step that is abandoned, or requested in a tight loop, while the service rejects calls.
    @Test
    fun `should request tickets again after the service was unavailable`() =
        runTest {
            var calls = 0
            val cluster =
                clusterWithAdvice(2) { if (++calls < 4) AdviceResult.Unavailable("status 429") else allow(it) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 1_000))
            delay(5_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(calls).isEqualTo(4)
        }

    // Guards against reuse of a ticket of an earlier incarnation: the worker refuses it, and the step needs a new one.
    @Test
    fun `should get a new ticket when a worker refuses the old one`() =
        runTest {
            val cluster = clusterWithAdvice(1) { allow(it) }
            var refusals = 0
            cluster.workers.values
                .single()
                .ticketFor = { if (refusals++ == 0) "another" else "ticket-w0" }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 1_000))
            delay(6_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.runsOf("a")).hasSize(1)
            expectThat(refusals).isGreaterThan(1)
        }

    private companion object {
        const val VALID_MS = 3_000L
    }
}
