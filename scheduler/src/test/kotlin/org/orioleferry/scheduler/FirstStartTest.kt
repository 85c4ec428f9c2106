package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import strikt.api.expectThat
import strikt.assertions.doesNotContain
import strikt.assertions.isEqualTo

/** Starts on workers that have no runs yet. */
class FirstStartTest {
    // Guards against sound workers that are taken for lost, with the tasks planned for them, because the answer to a
    // renewal is not awaited while the first start waits for the store.
    @Test
    fun `should not lose workers that answer while their first starts wait for the store`() {
        for (storeMs in listOf(10L, 100L, 200L, 400L)) {
            runTest {
                val cluster = SimulatedCluster(this, workers = 8) { _, _ -> Outcome(20_000) }
                val one = cluster.Instance("one").also { it.start() }
                one.store.answerMs = storeMs
                while (SchedulerEvent.WORKER_CLAIMED !in cluster.events) delay(1)
                repeat(8) {
                    launch {
                        cluster.submit(
                            one,
                            "a$it",
                            "routine",
                            StepSpec(8, SimulatedCluster.ONE_ACCELERATOR, 20_000),
                        )
                    }
                    delay(40)
                }
                delay(12_000)
                expectThat(cluster.events).describedAs("store $storeMs ms").doesNotContain(SchedulerEvent.WORKER_LOST)
                expectThat(
                    cluster.records.runs
                        .map { it.run.attempt }
                        .toSet(),
                ).isEqualTo(setOf(1))
            }
        }
    }
}
