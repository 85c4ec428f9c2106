package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.simulation.WriteFault
import org.orioleferry.scheduler.simulation.clusterWithWest
import org.orioleferry.scheduler.simulation.startsInWest
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.workers.RunEnding
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isContainedIn
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNull

/** Data centres in which nothing is started at the operator's request (677 starts there on one day of the deployments). */
class EvacuatedDataCentreTest {
    private val one = SimulatedCluster.ONE_ACCELERATOR

    // Guards against starts in an evacuated data centre, and against runs there that are stopped or lose their leases.
    @Test
    fun `should start nothing in an evacuated data centre and let its runs go on`() =
        runTest {
            val cluster =
                clusterWithWest(4, setOf("w0", "w1")) { task, _ ->
                    Outcome(
                        if (task.job ==
                            "long"
                        ) {
                            15_000
                        } else {
                            500
                        },
                    )
                }
            val owner = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(owner, "long", "routine", StepSpec(16, one, 15_000))
            delay(500)
            expectThat(cluster.startsInWest()).hasSize(16)
            cluster.evacuated += "west"
            delay(100)
            repeat(10) {
                cluster.submit(owner, "job-$it", "routine", StepSpec(4, one, 500))
                cluster.submit(owner, "gang-$it", "urgent", StepSpec(4, one, 500, isGang = true, sameRack = true))
                delay(500)
            }
            delay(11_000)
            expectThat(cluster.startsInWest()).hasSize(16)
            expectThat(cluster.records.runsOf("long")).all { get { ending }.isEqualTo(RunEnding.DONE) }
            repeat(10) {
                expectThat(cluster.stateOf(owner, "job-$it")).isEqualTo(JobState.COMPLETED)
                expectThat(cluster.stateOf(owner, "gang-$it")).isEqualTo(JobState.COMPLETED)
            }
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a new owner that uses the data centre because the request reached only the owner before it.
    @Test
    fun `should start nothing there after a takeover either`() =
        runTest {
            val cluster = clusterWithWest(2, setOf("w0")) { _, _ -> Outcome(1_000) }
            val first = cluster.Instance("one").also { it.start() }
            val second = cluster.Instance("two").also { it.start() }
            delay(500)
            cluster.evacuated += "west"
            val owner = listOf(first, second).single { it.isOwner }
            val other = listOf(first, second).single { !it.isOwner }
            owner.kill()
            repeat(8) {
                cluster.submit(other, "job-$it", "routine", StepSpec(1, one, 1_000))
                delay(1_000)
            }
            delay(2_000)
            expectThat(other.isOwner).isEqualTo(true)
            expectThat(cluster.startsInWest()).isEmpty()
            repeat(8) { expectThat(cluster.stateOf(other, "job-$it")).isEqualTo(JobState.COMPLETED) }
        }

    // Guards against an owner that starts tasks before its instance has read which data centres are evacuated.
    @Test
    fun `should place nothing before the instance of the owner has read the requests`() =
        runTest {
            val cluster = clusterWithWest(2, setOf("w0")) { _, _ -> Outcome(1_000) }
            cluster.evacuated += "west"
            val owner = cluster.Instance("one")
            owner.seesEvacuations = false
            owner.start()
            delay(500)
            cluster.submit(owner, "a", "urgent", StepSpec(2, one, 1_000))
            delay(3_000)
            expectThat(cluster.sentStarts).isEmpty()
            // Nothing is decided, so nothing is stored or stopped either.
            expectThat(cluster.events).doesNotContain(SchedulerEvent.RUN_START_DIVERTED)
            expectThat(cluster.stateOf(owner, "a")).isEqualTo(JobState.QUEUED)
            owner.seesEvacuations = true
            delay(1_500)
            expectThat(cluster.stateOf(owner, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.startsInWest()).isEmpty()
        }

    // Guards against an order that is sent although the request came while its start was being stored.
    @Test
    fun `should not send starts that wait for their row when the request arrives`() =
        runTest {
            val cluster = clusterWithWest(2, setOf("w0")) { _, _ -> Outcome(1_000) }
            val owner = cluster.Instance("one").also { it.start() }
            delay(500)
            owner.store.nextWrite = { transaction ->
                if (transaction.writes.any { it.key.table == Rows.PROGRESS }) {
                    cluster.evacuated += "west"
                    owner.readEvacuations()
                }
                WriteFault.NONE
            }
            cluster.submit(owner, "a", "routine", StepSpec(4, one, 1_000))
            delay(2_000)
            expectThat(cluster.startsInWest()).isEmpty()
            expectThat(cluster.events.count { it == SchedulerEvent.RUN_START_DIVERTED }).isEqualTo(4)
            // Nothing was sent, so nothing has to be stopped before the tasks start elsewhere.
            expectThat(cluster.events).doesNotContain(SchedulerEvent.RUN_STOP)
            expectThat(cluster.records.runsOf("a")).all { get { beganMs }.isLessThan(700) }
            expectThat(cluster.stateOf(owner, "a")).isEqualTo(JobState.COMPLETED)
        }

    // Guards against a gang of which some members are started and the others are not.
    @Test
    fun `should stop a gang that is half sent and place it again as a whole`() =
        runTest {
            val cluster = clusterWithWest(4, setOf("w0")) { _, _ -> Outcome(1_000) }
            val owner = cluster.Instance("one").also { it.start() }
            delay(500)
            var left = 4
            owner.link.onStart = {
                if (--left == 0) {
                    cluster.evacuated += "west"
                    owner.readEvacuations()
                }
            }
            cluster.submit(owner, "a", "routine", StepSpec(12, one, 1_000, isGang = true))
            delay(2_000)
            expectThat(cluster.startsInWest()).hasSize(4)
            val again = cluster.records.runsOf("a").filter { it.run.attempt == 2 }
            expectThat(again).hasSize(12).all { get { ending }.isEqualTo(RunEnding.DONE) }
            expectThat(cluster.records.runsOf("a").filter { it.run.attempt == 1 })
                .isNotEmpty()
                .all { get { ending }.isContainedIn(listOf(RunEnding.STOPPED, RunEnding.BROKEN)) }
            expectThat(cluster.stateOf(owner, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a start without an answer that is repeated after the request, and against its first order that the
    // worker carries out late, beside the run that was started elsewhere.
    @Test
    fun `should not repeat a start without an answer but make sure that it never begins`() =
        runTest {
            val cluster = clusterWithWest(2, setOf("w0")) { _, _ -> Outcome(3_000) }
            val owner = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.workers.getValue("w0").startAnswersToDrop = 1
            cluster.submit(owner, "a", "routine", StepSpec(1, one, 3_000))
            delay(300)
            expectThat(cluster.startsInWest()).hasSize(1)
            cluster.evacuated += "west"
            delay(6_000)
            expectThat(cluster.startsInWest()).hasSize(1)
            expectThat(cluster.records.runsOf("a").map { it.worker to it.ending })
                .isEqualTo(listOf("w0" to RunEnding.STOPPED, "w1" to RunEnding.DONE))
            expectThat(cluster.stateOf(owner, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against urgent work that waits for workers of the data centre which were being emptied for it.
    @Test
    fun `should drop a reservation in the evacuated data centre and reserve elsewhere`() =
        runTest {
            val cluster = clusterWithWest(2, setOf("w1")) { task, _ -> Outcome(if (task.job == "u") 500 else 30_000) }
            val owner = cluster.Instance("one").also { it.start() }
            delay(500)
            // The younger runs are stopped first, and they fill the second worker.
            cluster.submit(owner, "old", "routine", StepSpec(8, one, 30_000))
            delay(2_000)
            cluster.submit(owner, "young", "routine", StepSpec(8, one, 30_000))
            delay(1_000)
            cluster.submit(owner, "u", "urgent", StepSpec(4, one, 500, isGang = true, sameRack = true))
            while (SchedulerEvent.STEP_PREEMPTS !in cluster.events) delay(1)
            expectThat(cluster.startsInWest()).hasSize(8)
            cluster.evacuated += "west"
            owner.readEvacuations()
            delay(1_500)
            expectThat(cluster.startsInWest()).hasSize(8)
            expectThat(cluster.records.runsOf("u")).hasSize(4).all { get { worker }.isEqualTo("w0") }
            expectThat(cluster.stateOf(owner, "u")).isEqualTo(JobState.COMPLETED)
        }

    // Guards against a lasting task that returns to the evacuated data centre, or is lost, when its worker there is lost.
    @Test
    fun `should start a lasting task elsewhere when its worker is lost during the evacuation`() =
        runTest {
            val cluster = clusterWithWest(4, setOf("w0", "w1")) { _, _ -> Outcome(1_000_000, startupMs = 100) }
            cluster.records.isLasting = { true }
            val owner = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(owner, "a", "routine", StepSpec(1, one, 1_000, isLasting = true))
            delay(1_000)
            expectThat(cluster.startsInWest()).hasSize(1)
            cluster.evacuated += "west"
            delay(1_000)
            expectThat(cluster.records.runsOf("a")).all { get { endedMs }.isNull() }
            cluster.workers.getValue("w0").losePower()
            delay(15_000)
            expectThat(cluster.startsInWest()).hasSize(1)
            expectThat(
                cluster.records
                    .runsOf("a")
                    .last()
                    .endedMs,
            ).isNull()
            expectThat(
                cluster.records
                    .runsOf("a")
                    .last()
                    .worker,
            ).isEqualTo("w2")
        }

    // Guards against a trial in the evacuated data centre: trials prefer empty workers, which are all there.
    @Test
    fun `should hold the trial of a suspect on the remaining workers`() =
        runTest {
            val cluster =
                clusterWithWest(4, setOf("w0", "w1")) { task, _ ->
                    Outcome(
                        if (task.job ==
                            "fill"
                        ) {
                            60_000
                        } else {
                            1_000
                        },
                    )
                }
            cluster.workers.values.forEach { worker ->
                worker.crashesAfterMs =
                    { if (it.job == "bad" && cluster.records.crashesByTask.isEmpty()) 300 else null }
            }
            val owner = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(owner, "bad", "routine", StepSpec(1, one, 1_000))
            delay(200)
            expectThat(cluster.startsInWest()).hasSize(1)
            cluster.evacuated += "west"
            delay(100)
            cluster.submit(owner, "fill", "routine", StepSpec(8, one, 60_000))
            delay(20_000)
            expectThat(cluster.startsInWest()).hasSize(1)
            expectThat(cluster.events).contains(SchedulerEvent.TASK_SUSPECTED)
            expectThat(cluster.stateOf(owner, "bad")).isEqualTo(JobState.COMPLETED)
        }
}
