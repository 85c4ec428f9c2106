package org.orioleferry.scheduler

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.workers.RunEnding
import org.orioleferry.scheduler.workers.StartOrder
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Runs of an earlier owner that its successor has found on their workers. */
class AdoptedRunsTest {
    // Guards against a second run of a task while the first goes on under the lease of the earlier owner: the next owner had
    // granted none yet when its second call failed, and took the leases for expired.
    @Test
    fun `should not start adopted runs elsewhere when a call fails soon after the takeover`() {
        for (cutAfterMs in 0L..4_000L step 100) {
            runTest {
                val cluster = SimulatedCluster(this) { task, _ -> Outcome(if (task.job == "short") 2_000 else 12_000) }
                takeOver(cluster, cutAfterMs, cutMs = 2_500)
                delay(40_000)
                expectThat(cluster.records.violations).isEmpty()
                expectThat(cluster.records.runsOf("long").filter { it.ending == RunEnding.DONE }).hasSize(WIDTH)
            }
        }
    }

    // Guards against the same on a worker that restarted before it carried out the order, whose deadline lies far ahead on the
    // new clock, so that the worker has granted its longest lease.
    @Test
    fun `should not start a run elsewhere that was adopted from a restarted worker which is then cut off`() {
        for (downMs in 300L..2_700L step 300) {
            runTest {
                val cluster = SimulatedCluster(this) { _, _ -> Outcome(20_000) }
                val instance = cluster.Instance("one").also { it.start() }
                delay(30_000)
                val sent = CompletableDeferred<StartOrder>()
                instance.link.onStart = { order -> sent.complete(order).also { awaitCancellation() } }
                cluster.submit(instance, "a", "routine", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 20_000))
                val order = sent.await()
                instance.kill()
                val worker = cluster.workers.getValue(cluster.sentStarts.last().worker)
                worker.crash()
                delay(200)
                worker.start(order)
                delay(downMs)
                instance.link.onStart = {}
                instance.start()
                delay(CLAIMED_AFTER_MS)
                expectThat(cluster.events).contains(SchedulerEvent.RUN_ADOPTED)
                instance.link.unreachableWorkers += worker.id
                delay(40_000)
                expectThat(cluster.records.violations).describedAs("down for $downMs ms").isEmpty()
                expectThat(cluster.stateOf(instance, "a")).isEqualTo(JobState.COMPLETED)
            }
        }
    }

    /**
     * Kills the owner while two jobs run and starts it again beside a slow store; the job `short` ends in between. From
     * [cutAfterMs] after the start on, the worker of the first task is not reached for [cutMs].
     */
    private suspend fun TestScope.takeOver(
        cluster: SimulatedCluster,
        cutAfterMs: Long,
        cutMs: Long,
    ) {
        val instance = cluster.Instance("one").also { it.start() }
        delay(1_500)
        val step = StepSpec(WIDTH, SimulatedCluster.ONE_ACCELERATOR, 10_000)
        listOf("long", "short").forEach { cluster.submit(instance, it, "routine", step) }
        delay(1_500)
        expectThat(cluster.records.runs).hasSize(2 * WIDTH)
        instance.kill()
        delay(1_000)
        instance.store.answerMs = STORE_ANSWER_MS
        instance.start()
        delay(cutAfterMs)
        val worker =
            cluster.records
                .runsOf("long")
                .first()
                .worker
        instance.link.unreachableWorkers += worker
        delay(cutMs)
        instance.link.unreachableWorkers -= worker
    }

    private companion object {
        const val WIDTH = 4
        const val STORE_ANSWER_MS = 400L

        // The election, the reading of the rows and the claim of a worker take 0.1 s without faults.
        const val CLAIMED_AFTER_MS = 200L
    }
}
