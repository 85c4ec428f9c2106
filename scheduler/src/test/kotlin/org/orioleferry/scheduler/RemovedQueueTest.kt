package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.AdviceLatency
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.Queue
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.workers.AdviceResult
import org.orioleferry.scheduler.workers.RunEnding
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class RemovedQueueTest {
    private val step = StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 1_000)

    private fun SimulatedCluster.changeQueues(change: (List<Queue>) -> List<Queue>) {
        manifest = manifest.copy(version = manifest.version + 1, queues = change(manifest.queues))
    }

    private fun SimulatedCluster.limitAttempts(attempts: Int) =
        changeQueues { queues -> queues.map { it.copy(maxAttempts = attempts) } }

    private fun SimulatedCluster.removeQueues() = changeQueues { emptyList() }

    // Guards against starts beyond the attempts of a queue that was removed while its job ran (BUDGET, review/5).
    @Test
    fun `should keep the lower number of attempts of a removed queue`() =
        runTest {
            val cluster = SimulatedCluster(this) { _, _ -> Outcome(1_000, RunEnding.FAILED) }
            cluster.records.maxAttempts = 2
            cluster.limitAttempts(2)
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", step)
            delay(500)
            cluster.removeQueues()
            delay(15_000)
            expectThat(cluster.records.runsOf("a")).hasSize(2)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.FAILED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a job that is shown as failed before its last attempt, also by an owner that never knew its queue
    // (LOST, review/5).
    @Test
    fun `should keep the higher number of attempts of a removed queue under the next owner`() =
        runTest {
            val endingOf = { attempt: Int -> if (attempt <= 4) RunEnding.FAILED else RunEnding.DONE }
            val cluster = SimulatedCluster(this) { _, attempt -> Outcome(1_000, endingOf(attempt)) }
            cluster.records.maxAttempts = 5
            cluster.limitAttempts(5)
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", step)
            delay(500)
            cluster.removeQueues()
            one.kill()
            val two = cluster.Instance("two").also { it.start() }
            delay(30_000)
            expectThat(cluster.stateOf(two, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against starts without a ticket, or on workers that are not allowed, once the queue is removed (ROUTE).
    @Test
    fun `should still ask for advice on a step of a removed queue`() =
        runTest {
            val cluster = SimulatedCluster(this)
            cluster.changeQueues { queues -> queues.map { it.copy(advice = AdviceLatency(20, 2)) } }
            cluster.workers.values.forEach { worker -> worker.ticketFor = { "ticket-${worker.id}" } }
            cluster.advice = { _, asked ->
                AdviceResult.Allowed(asked.filter { it == "w2" }.associateWith { "ticket-$it" }, 3_000)
            }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", step, step.copy(count = 3, after = listOf(0)))
            delay(300)
            cluster.removeQueues()
            delay(8_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.runsOf("a").filter { it.worker != "w2" }).isEmpty()
        }
}
