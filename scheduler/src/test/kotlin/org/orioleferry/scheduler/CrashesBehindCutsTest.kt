package org.orioleferry.scheduler

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.simulation.SimulatedWorker
import org.orioleferry.scheduler.simulation.WriteFault
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.Rows
import strikt.api.expectThat
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class CrashesBehindCutsTest {
    private val step = StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 5_000)

    private fun RowTransaction.changesProgress() = writes.any { it.key.table == Rows.PROGRESS }

    private fun SimulatedWorker.crashBehindCut() {
        crash()
        isReachable = true
    }

    // Guards against a start for a cancelled job, on a draining worker or after the ownership has lapsed, since the worker
    // is asked for an answer between the decision and the order.
    @Test
    fun `should not start a suspect whose job was cancelled while its worker was asked`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 2) { _, _ -> Outcome(5_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(15_000)
            cluster.workers.values.forEach { it.crashesAfterMs = { 10 } }
            cluster.submit(one, "a", "routine", step)
            delay(300)
            val isAsked = CompletableDeferred<Unit>()
            one.link.answerDelayMs = {
                isAsked.complete(Unit)
                600
            }
            isAsked.await()
            one.jobApi.cancel("a", "team", 2_000)
            delay(5_000)
            expectThat(cluster.records.runsOf("a")).hasSize(1)
        }

    // Guards against a sound job that is shown as failed for starts that never arrived (LOST on omotnica-split, review/1).
    @Test
    fun `should not give up a task for starts that were lost before their workers crashed`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 6) { _, _ -> Outcome(6_800) }
            val one = cluster.Instance("one").also { it.start() }
            delay(15_000)
            cluster.submit(one, "sound", "routine", step)
            delay(800)
            val first =
                cluster.workers.getValue(
                    cluster.records
                        .runsOf("sound")
                        .single()
                        .worker,
                )
            val others = cluster.workers.values - first
            cluster.workers.values.forEach { it.isReachable = false }
            delay(3_000)
            first.crashBehindCut()
            delay(2_000)
            others.forEach { it.crashBehindCut() }
            delay(30_000)
            expectThat(cluster.stateOf(one, "sound")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a task that counts as a suspect, and waits for a trial, because workers crashed before it was ordered
    // there: its start waited for its row.
    @Test
    fun `should not suspect a task that was never ordered on the worker that crashed`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 1) { _, _ -> Outcome(5_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(15_000)
            one.store.nextWrite = { if (it.changesProgress()) WriteFault.REFUSED else WriteFault.NONE }
            cluster.submit(one, "sound", "routine", step)
            delay(500)
            cluster.workers.values
                .single()
                .crash()
            delay(2_000)
            one.store.nextWrite = { WriteFault.NONE }
            delay(15_000)
            expectThat(cluster.stateOf(one, "sound")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.events).doesNotContain(SchedulerEvent.TASK_SUSPECTED)
        }

    // Guards against a sound job that is shown as failed for crashes after the leases of its runs had expired.
    @Test
    fun `should not give up a task for workers that crashed after its leases had expired`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 6) { _, _ -> Outcome(6_800) }
            val one = cluster.Instance("one").also { it.start() }
            delay(15_000)
            cluster.submit(one, "sound", "routine", step)
            repeat(3) {
                delay(1_500)
                val run = cluster.records.runsOf("sound").last()
                val worker = cluster.workers.getValue(run.worker)
                worker.isReachable = false
                delay(8_500)
                worker.crashBehindCut()
            }
            delay(30_000)
            expectThat(cluster.stateOf(one, "sound")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a sound gang that is given up for workers which crashed after another member had ended it.
    @Test
    fun `should not take the end of a gang for a crash under each of its members`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 8) { _, _ -> Outcome(6_800) }
            val one = cluster.Instance("one").also { it.start() }
            delay(15_000)
            cluster.submit(one, "sound", "routine", StepSpec(2, SimulatedCluster.WORKER_CAPACITY, 5_000, isGang = true))
            // A member that is hit once itself and once after the end of its gang.
            listOf(1, 0).forEachIndexed { at, first ->
                while (cluster.records.runsOf("sound").size < 2 * (at + 1)) delay(100)
                delay(800)
                val runs =
                    cluster.records
                        .runsOf("sound")
                        .takeLast(2)
                        .sortedBy { it.run.task.index }
                val hosts = runs.map { cluster.workers.getValue(it.worker) }
                hosts.forEach { it.isReachable = false }
                delay(2_000)
                hosts[first].crashBehindCut()
                delay(1_000)
                hosts[1 - first].crashBehindCut()
            }
            delay(40_000)
            expectThat(cluster.stateOf(one, "sound")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
        }
}
