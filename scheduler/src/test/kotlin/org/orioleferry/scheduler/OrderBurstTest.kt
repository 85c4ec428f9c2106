package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Bursts of work at an owner that can make [CALLS_PER_S] calls a second. */
class OrderBurstTest {
    private val startsByTask = HashMap<String, Int>()

    private fun TestScope.cluster(): Pair<SimulatedCluster, SimulatedCluster.Instance> {
        val cluster = SimulatedCluster(this, workers = 25) { _, _ -> Outcome(TASK_MS) }
        val instance = cluster.Instance("a")
        instance.link.callCostMs = 1_000L / CALLS_PER_S
        instance.link.onStart = { startsByTask.merge(it.run.task.toString(), 1, Int::plus) }
        instance.start()
        return cluster to instance
    }

    // Guards against a burst of orders that waits behind itself until all their time limits are over, so that each is
    // sent again and, after three tries, its task is stopped and started elsewhere: accepted work then never runs.
    @Tag("known-red")
    @Test
    fun `should finish a burst of starts wider than the calls of one time limit without sending any twice`() =
        runTest {
            val (cluster, instance) = cluster()
            delay(SETTLE_MS)
            cluster.submit(instance, "wide", "routine", StepSpec(TASKS, SimulatedCluster.ONE_ACCELERATOR, TASK_MS))
            delay(TASKS * 1_000L / CALLS_PER_S * CALLS_PER_TASK + TASK_MS)
            expectThat(startsByTask.filter { it.value > 1 }).isEmpty()
            expectThat(cluster.stateOf(instance, "wide")).isEqualTo(JobState.COMPLETED)
        }

    // Guards against claims of all workers at a takeover that lose each other's answers, so that no work starts.
    @Tag("known-red")
    @Test
    fun `should claim more workers than the calls of one time limit`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 150) { _, _ -> Outcome(TASK_MS) }
            val instance = cluster.Instance("a")
            instance.link.callCostMs = 1_000L / CALLS_PER_S
            instance.start()
            delay(150 * 1_000L / CALLS_PER_S + SETTLE_MS)
            val calls = instance.link.callCount
            expectThat(calls).isEqualTo(150)
        }

    private companion object {
        const val CALLS_PER_S = 60L
        const val TASKS = 180
        const val TASK_MS = 1_000L
        const val SETTLE_MS = 3_000L

        // A start, and a renewal that lists the end.
        const val CALLS_PER_TASK = 2
    }
}
