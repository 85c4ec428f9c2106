package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.callers.LookupResult
import org.orioleferry.scheduler.callers.SubmitResult
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.simulation.WriteFault
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.workers.RunEnding
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class OwnerTest {
    @Test
    fun `should run the steps of a job in order and report it as completed`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val one = cluster.Instance("one").also { it.start() }
            delay(1_000)
            cluster.records.stepsBefore =
                { task -> if (task.step == 1) List(3) { task.copy(step = 0, index = it) } else emptyList() }
            val steps =
                arrayOf(
                    StepSpec(3, SimulatedCluster.ONE_ACCELERATOR, 1_000),
                    StepSpec(2, SimulatedCluster.ONE_ACCELERATOR, 1_000, after = listOf(0)),
                )
            expectThat(cluster.submit(one, "a", "routine", *steps)).isA<SubmitResult.Accepted>()
            delay(3_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.runsOf("a")).hasSize(5)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a job that is stored or run twice because the caller repeats it at another instance.
    @Test
    fun `should keep one job for an id that is submitted at several instances`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val one = cluster.Instance("one").also { it.start() }
            val two = cluster.Instance("two").also { it.start() }
            delay(1_000)
            cluster.submit(one, "a", "urgent", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 1_000))
            expectThat(
                cluster.submit(two, "a", "urgent", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 1_000)),
            ).isEqualTo(SubmitResult.Accepted(isRepeat = true))
            delay(2_000)
            expectThat(
                cluster.submit(two, "a", "urgent", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 1_000)),
            ).isA<SubmitResult.Accepted>()
            delay(2_000)
            expectThat(cluster.records.runsOf("a")).hasSize(1)
        }

    // Guards against the refusal of a job whose acceptance was stored although the store's answer was lost.
    @Test
    fun `should accept a job when the first answer of the store is lost`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val one = cluster.Instance("one")
            var left = 1
            one.store.nextWrite = { if (left-- > 0) WriteFault.ANSWER_LOST_APPLIED else WriteFault.NONE }
            expectThat(
                cluster.submit(one, "a", "urgent", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR)),
            ).isEqualTo(SubmitResult.Accepted(isRepeat = true))
        }

    // Guards against reporting that a job never runs while its write may still take effect.
    @Test
    fun `should not refuse a job after a write whose outcome is unknown`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val one = cluster.Instance("one")
            var left = 1
            one.store.nextWrite = { if (left-- > 0) WriteFault.ANSWER_LOST_NOT_APPLIED else WriteFault.REFUSED }
            expectThat(
                cluster.submit(one, "a", "urgent", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR)),
            ).isA<SubmitResult.Unknown>()
        }

    // Guards against telling a caller that its job was not cancelled while the write may still take effect.
    @Test
    fun `should report a cancellation whose write has no answer as unknown`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val one = cluster.Instance("one")
            cluster.submit(one, "a", "routine", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR))
            one.store.nextWrite = { WriteFault.ANSWER_LOST_NOT_APPLIED }
            expectThat(one.jobApi.cancel("a", "team", 1_000)).isA<LookupResult.Unknown>()
            one.store.nextWrite = { WriteFault.REFUSED }
            expectThat(one.jobApi.cancel("a", "team", 1_000)).isA<LookupResult.Unavailable>()
        }

    // Guards against jobs that stay with the owner although their rows were removed while the feed had lost its history.
    @Test
    fun `should forget a job whose row was removed while the history of the feed was lost`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 1)
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "wide", "routine", StepSpec(1, SimulatedCluster.WORKER_CAPACITY * 2, 1_000))
            delay(3_000)
            expectThat(one.jobApi.queueLength("routine")).isEqualTo(1)
            cluster.rows.apply(RowTransaction(removals = listOf(Rows.job("wide"))))
            cluster.rows.trimHistory()
            delay(5_000)
            expectThat(one.jobApi.queueLength("routine")).isEqualTo(0)
        }

    // Guards against a server that has left and is used again by an owner that was started after it left.
    @Test
    fun `should start nothing on a worker that has left after the owner is replaced`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 2)
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", StepSpec(16, SimulatedCluster.ONE_ACCELERATOR, 1_000))
            delay(2_000)
            cluster.workers.getValue("w0").isDraining = true
            delay(1_000)
            cluster.deregisteredWorkers += "w0"
            cluster.departedWorkers += "w0"
            one.kill()
            val two = cluster.Instance("two").also { it.start() }
            cluster.submit(two, "b", "routine", StepSpec(8, SimulatedCluster.ONE_ACCELERATOR, 1_000))
            delay(6_000)
            expectThat(cluster.stateOf(two, "b")).isEqualTo(JobState.COMPLETED)
            expectThat(
                cluster.records
                    .runsOf("b")
                    .map { it.worker }
                    .toSet(),
            ).isEqualTo(setOf("w1"))
        }

    // Guards against ends that are acknowledged, and so forgotten by the worker, before they are stored: the next owner
    // would run the tasks again.
    @Test
    fun `should not run a done task again when the owner dies before the end is stored`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            val two = cluster.Instance("two").also { it.start() }
            cluster.submit(
                two,
                "a",
                "routine",
                StepSpec(4, SimulatedCluster.ONE_ACCELERATOR, 1_000),
                StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 3_000, after = listOf(0)),
            )
            delay(500)
            one.store.nextWrite = { WriteFault.REFUSED }
            delay(700)
            one.kill()
            delay(9_000)
            expectThat(cluster.stateOf(two, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
            expectThat(cluster.records.runsOf("a")).hasSize(5)
        }

    // Guards against lost and duplicate runs when the owner is replaced.
    @Test
    fun `should adopt running tasks after a takeover`() =
        runTest {
            val cluster = SimulatedCluster(this) { _, _ -> Outcome(5_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            val two = cluster.Instance("two").also { it.start() }
            cluster.submit(two, "a", "routine", StepSpec(6, SimulatedCluster.ONE_ACCELERATOR, 5_000))
            delay(1_000)
            one.kill()
            delay(9_000)
            expectThat(two.isOwner).isEqualTo(true)
            expectThat(cluster.stateOf(two, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.runsOf("a")).hasSize(6)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against two runs of a task whose worker is unreachable but keeps running while the owner is replaced.
    @Test
    fun `should wait for the leases of a worker that it cannot claim`() =
        runTest {
            val cluster = SimulatedCluster(this) { _, _ -> Outcome(60_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            val two = cluster.Instance("two").also { it.start() }
            cluster.submit(two, "a", "routine", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 60_000))
            delay(1_000)
            val busy =
                cluster.records.runs
                    .single()
                    .worker
            cluster.workers.getValue(busy).isReachable = false
            cluster.deregisteredWorkers += busy
            one.kill()
            delay(30_000)
            expectThat(cluster.records.violations).isEmpty()
            expectThat(cluster.records.runsOf("a")).hasSize(2)
        }

    // Guards against orders from an owner whose lease expired while it could not reach the store.
    @Test
    fun `should start nothing after another instance has become the owner`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            val two = cluster.Instance("two").also { it.start() }
            one.store.isUnavailable = true
            delay(4_000)
            expectThat(two.isOwner).isEqualTo(true)
            cluster.submit(two, "a", "urgent", StepSpec(8, SimulatedCluster.ONE_ACCELERATOR, 1_000))
            delay(3_000)
            one.store.isUnavailable = false
            delay(3_000)
            expectThat(listOf(one, two).count { it.isOwner }).isEqualTo(1)
            expectThat(cluster.records.violations).isEmpty()
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
        }

    @Test
    fun `should report a job as failed after its last attempt and start no further one`() =
        runTest {
            val cluster = SimulatedCluster(this) { _, _ -> Outcome(200, RunEnding.FAILED) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 200))
            delay(20_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.FAILED)
            expectThat(cluster.records.runsOf("a")).hasSize(3)
            expectThat(cluster.records.violations).isEmpty()
        }

    @Test
    fun `should stop the runs of a cancelled job within the bound`() =
        runTest {
            val cluster = SimulatedCluster(this) { _, _ -> Outcome(60_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", StepSpec(3, SimulatedCluster.ONE_ACCELERATOR, 60_000))
            delay(1_000)
            val cancelledMs = cluster.clock.monotonicMs()
            expectThat(one.jobApi.cancel("a", "team", 1_000)).isA<LookupResult.Found<Unit>>()
            delay(3_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.CANCELLED)
            cluster.records
                .runsOf(
                    "a",
                ).forEach { expectThat((it.endedMs ?: Long.MAX_VALUE) - cancelledMs).isLessThan(3_000) }
        }

    // Guards against a preempted task that delays urgent work, and against the loss of the preempted job.
    @Test
    fun `should preempt routine work for an urgent gang and finish both`() =
        runTest {
            val cluster =
                SimulatedCluster(this, workers = 2) { task, _ -> Outcome(if (task.job == "urgent-job") 500 else 8_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "routine-job", "routine", StepSpec(16, SimulatedCluster.ONE_ACCELERATOR, 8_000))
            delay(1_000)
            cluster.submit(
                one,
                "urgent-job",
                "urgent",
                StepSpec(2, SimulatedCluster.ONE_ACCELERATOR, 500, isGang = true, sameRack = true),
            )
            delay(1_500)
            expectThat(cluster.stateOf(one, "urgent-job")).isEqualTo(JobState.COMPLETED)
            delay(20_000)
            expectThat(cluster.stateOf(one, "routine-job")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against jobs that are missed when the store discards the history of its feed.
    @Test
    fun `should reread the jobs when the history of the feed is lost`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val one = cluster.Instance("one").also { it.start() }
            val two = cluster.Instance("two")
            delay(500)
            one.store.isUnavailable = true
            cluster.submit(two, "a", "routine", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 1_000))
            cluster.rows.trimHistory()
            one.store.isUnavailable = false
            delay(4_000)
            expectThat(cluster.stateOf(two, "a")).isEqualTo(JobState.COMPLETED)
        }

    // Guards against callers that wait until their deadline while the store is known to be unavailable.
    @Test
    fun `should refuse a job at once while the store is unavailable`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            one.store.isUnavailable = true
            delay(1_500)
            val before = cluster.clock.monotonicMs()
            expectThat(
                cluster.submit(one, "a", "urgent", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR)),
            ).isA<SubmitResult.NotAccepted>()
            expectThat(one.jobApi.state("b", "team")).isA<LookupResult.Unavailable>()
            expectThat(cluster.clock.monotonicMs() - before).isEqualTo(0)
        }
}
