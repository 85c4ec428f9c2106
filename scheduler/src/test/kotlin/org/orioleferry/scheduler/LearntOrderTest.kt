package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.Queue
import org.orioleferry.scheduler.model.Resources
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Order of waiting steps on a queue whose estimates are too long by a factor of four. */
class LearntOrderTest {
    /**
     * Returns the order in which two jobs begin that have waited for a worker for 8 s: "early" cannot end in time by its
     * estimate of 8 s but by the 2 s that it takes, and "late" was submitted after it.
     */
    private suspend fun TestScope.order(shortage: ShortageSettings?): List<String> {
        val cluster =
            SimulatedCluster(this, workers = 1) { task, _ ->
                Outcome(
                    if (task.job ==
                        "full"
                    ) {
                        9_000
                    } else {
                        2_000
                    },
                )
            }
        cluster.shortage = shortage
        val batch = Queue("batch", "host", "/batch/", "pool", 1, 3, 1.5, 1_000, 3_000, isPublic = false)
        cluster.manifest = cluster.manifest.copy(queues = cluster.manifest.queues + batch)
        val one = cluster.Instance("one").also { it.start() }
        delay(500)
        repeat(2) { cluster.submit(one, "learnt$it", "batch", StepSpec(8, SimulatedCluster.ONE_ACCELERATOR, 8_000)) }
        delay(5_000)
        expectThat(cluster.stateOf(one, "learnt1")).isEqualTo(JobState.COMPLETED)
        cluster.submit(one, "full", "routine", StepSpec(1, WHOLE_WORKER, 9_000))
        delay(500)
        cluster.submit(one, "early", "batch", StepSpec(1, WHOLE_WORKER, 8_000))
        delay(7_500)
        cluster.submit(one, "late", "batch", StepSpec(1, WHOLE_WORKER, 8_000))
        delay(8_000)
        expectThat(cluster.records.violations).isEmpty()
        return cluster.records.runs
            .map { it.run.task.job }
            .filter { it == "early" || it == "late" }
    }

    // Guards against work that can end in time but waits behind later work, and then ends late, because the estimates of
    // its queue are too long.
    @Test
    fun `should not put work last as late that ends in time by the learnt durations`() {
        runTest { expectThat(order(ShortageSettings(500, 6_000))).isEqualTo(listOf("early", "late")) }
        runTest { expectThat(order(shortage = null)).isEqualTo(listOf("late", "early")) }
    }

    private companion object {
        val WHOLE_WORKER = Resources(8_000, 8_000, 8)
    }
}
