package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.simulation.WriteFault
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.Rows
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class WorkerFaultsTest {
    // Guards against leases that are extended forever at a worker that is gone, so that its tasks never restart.
    @Test
    fun `should restart a task when its worker disappears without notice`() =
        runTest {
            val cluster = SimulatedCluster(this) { _, _ -> Outcome(3_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 3_000))
            delay(1_000)
            val lostWorker =
                cluster.records.runs
                    .single()
                    .worker
            cluster.workers.getValue(lostWorker).crash()
            cluster.workers.getValue(lostWorker).isReachable = false
            cluster.deregisteredWorkers += lostWorker
            delay(14_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a takeover that starts no task until the leases of one lost worker have expired.
    @Test
    fun `should start tasks that never ran at once after a takeover although a worker is lost`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 2) { _, _ -> Outcome(4_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            val two = cluster.Instance("two").also { it.start() }
            cluster.submit(two, "a", "routine", StepSpec(24, SimulatedCluster.ONE_ACCELERATOR, 4_000))
            delay(1_000)
            cluster.workers.getValue("w0").isReachable = false
            cluster.deregisteredWorkers += "w0"
            one.kill()
            delay(7_000)
            expectThat(cluster.records.runs.count { it.worker == "w1" }).isEqualTo(16)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a second run of a task whose end is in the worker's last answer when the directory reports that the
    // worker has left (TWICE on trouble-1 of the grown Omotnica, seed 101).
    @Test
    fun `should take note of ends that a leaving worker has listed in an answer under way`() =
        runTest {
            val cluster = SimulatedCluster(this) { _, _ -> Outcome(2_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 2_000))
            delay(1_000)
            val run = cluster.records.runs.single()
            cluster.workers.getValue(run.worker).isDraining = true
            one.link.renewalAnswerMs = 1_000
            while (run.endedMs == null) delay(10)
            cluster.deregisteredWorkers += run.worker
            cluster.departedWorkers += run.worker
            delay(5_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.runsOf("a")).hasSize(1)
        }

    // Guards against a second run of a gang whose end an owner learns while the start of the next attempt waits: a claim
    // that succeeded only after the leases of earlier owners had run out (TWICE on the small twin of the grown Omotnica).
    @Test
    fun `should not start a gang again whose end is listed while the start waits to be stored`() =
        runTest {
            val cluster = SimulatedCluster(this) { _, _ -> Outcome(1_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            val two = cluster.Instance("two").also { it.start() }
            val gang = StepSpec(2, SimulatedCluster.ONE_ACCELERATOR, 1_000, isGang = true)
            cluster.submit(two, "a", "routine", gang)
            delay(300)
            one.kill()
            val workers = cluster.records.runsOf("a").map { cluster.workers.getValue(it.worker) }
            workers.forEach { it.isReachable = false }
            two.store.nextWrite = { if (it.changesProgress()) WriteFault.REFUSED else WriteFault.NONE }
            delay(EARLIER_LEASES_MS)
            workers.forEach { it.isReachable = true }
            delay(1_500)
            two.store.nextWrite = { WriteFault.NONE }
            delay(5_000)
            expectThat(cluster.stateOf(two, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.runsOf("a")).hasSize(2)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a start on a worker that began to drain while the start waited to be stored.
    @Test
    fun `should not start a task on a worker that drains by the time the start is stored`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 2) { _, _ -> Outcome(1_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            one.store.nextWrite = { if (it.changesProgress()) WriteFault.REFUSED else WriteFault.NONE }
            cluster.submit(one, "a", "routine", StepSpec(16, SimulatedCluster.ONE_ACCELERATOR, 1_000))
            delay(500)
            cluster.workers.getValue("w0").isDraining = true
            delay(1_500)
            one.store.nextWrite = { WriteFault.NONE }
            delay(6_000)
            expectThat(cluster.records.runsOf("a").filter { it.worker == "w0" }).isEmpty()
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against an urgent job that waits for a stalled worker, as in an incident on omotnica-split.
    @Test
    fun `should restart urgent tasks on other workers when a worker stalls`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 6) { _, _ -> Outcome(2_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.workers.getValue("w0").isStalled = true
            cluster.submit(one, "a", "urgent", StepSpec(12, SimulatedCluster.ONE_ACCELERATOR, 400))
            delay(5_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a second run of a short task that was done before its start order was repeated; the repeated order
    // is refused because the attempt has ended.
    @Test
    fun `should not run a task again that ended before its unanswered start was repeated`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 1) { _, _ -> Outcome(300) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.workers.values.forEach { it.startAnswersToDrop = 2 }
            one.link.dropsRenewalAnswers = true
            cluster.submit(one, "a", "routine", StepSpec(2, SimulatedCluster.ONE_ACCELERATOR, 300))
            delay(1_200)
            one.link.dropsRenewalAnswers = false
            delay(5_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.runsOf("a")).hasSize(2)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a second run when a start took effect and only its answer was lost.
    @Test
    fun `should count a start whose answer is lost as one run`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.workers.values.forEach { it.startAnswersToDrop = 2 }
            cluster.submit(one, "a", "routine", StepSpec(4, SimulatedCluster.ONE_ACCELERATOR, 1_000))
            delay(4_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
            expectThat(cluster.records.runsOf("a")).hasSize(4)
        }

    // Guards against a second start of a task that is done: the repeated start order reached the new incarnation of a
    // worker that had listed the end before it crashed (soak seed 24).
    @Test
    fun `should not repeat a start order whose run has ended in the meantime`() =
        runTest {
            val cluster =
                SimulatedCluster(this, workers = 1) { task, _ -> Outcome(if (task.job == "long") 20_000 else 100) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "long", "routine", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 20_000))
            delay(500)
            val worker = cluster.workers.values.single()
            worker.startAnswersToDrop = 1
            cluster.submit(one, "short", "routine", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 100))
            delay(500)
            worker.crash()
            delay(3_000)
            expectThat(cluster.records.violations).isEmpty()
            expectThat(cluster.records.runsOf("short")).hasSize(1)
        }

    // Guards against a gang that keeps running in part: the other members end as broken, and all restart together.
    @Test
    fun `should restart a whole gang when the worker of a member crashes`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 3) { _, _ -> Outcome(2_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", StepSpec(12, SimulatedCluster.ONE_ACCELERATOR, 2_000, isGang = true))
            delay(1_000)
            cluster.workers
                .getValue(
                    cluster.records
                        .runsOf("a")
                        .first()
                        .worker,
                ).crash()
            delay(9_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
            val attempts = cluster.records.runsOf("a").groupBy { it.run.attempt }
            expectThat(attempts.values.map { it.size }.toSet()).isEqualTo(setOf(12))
        }

    private fun RowTransaction.changesProgress() = writes.any { it.key.table == Rows.PROGRESS }

    private companion object {
        // Time to acquire the ownership, and until every lease of an earlier owner has run out.
        const val EARLIER_LEASES_MS = 15_000L
    }
}
