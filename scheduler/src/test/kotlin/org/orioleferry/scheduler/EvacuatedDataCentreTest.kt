package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.simulation.WriteFault
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.workers.RunEnding
import org.orioleferry.scheduler.workers.TaskId
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isContainedIn
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNull

/** Data centres in which nothing is started at the operator's request (677 starts there on one day of the deployments). */
class EvacuatedDataCentreTest {
    private val one = SimulatedCluster.ONE_ACCELERATOR

    /** Workers [evacuatable] are in the data centre `west`, all others in `east`. */
    private fun TestScope.clusterOf(
        workers: Int,
        evacuatable: Set<String>,
        outcomeOf: (TaskId, Int) -> Outcome,
    ): SimulatedCluster {
        val cluster = SimulatedCluster(this, workers, outcomeOf)
        cluster.workers.values.forEach { it.dataCentre = if (it.id in evacuatable) "west" else "east" }
        return cluster
    }

    private fun SimulatedCluster.startsInWest() = sentStarts.filter { workers.getValue(it.worker).dataCentre == "west" }

    // Guards against starts in an evacuated data centre, and against runs there that are stopped or lose their leases.
    @Test
    fun `should start nothing in an evacuated data centre and let its runs go on`() =
        runTest {
            val cluster =
                clusterOf(4, setOf("w0", "w1")) { task, _ ->
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
            val cluster = clusterOf(2, setOf("w0")) { _, _ -> Outcome(1_000) }
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
            val cluster = clusterOf(2, setOf("w0")) { _, _ -> Outcome(1_000) }
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
            val cluster = clusterOf(2, setOf("w0")) { _, _ -> Outcome(1_000) }
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
            val cluster = clusterOf(4, setOf("w0")) { _, _ -> Outcome(1_000) }
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
            val cluster = clusterOf(2, setOf("w0")) { _, _ -> Outcome(3_000) }
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
            val cluster = clusterOf(2, setOf("w1")) { task, _ -> Outcome(if (task.job == "u") 500 else 30_000) }
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

    // Guards against urgent work that misses its start time because it counts on the evacuated data centre.
    @Test
    fun `should begin urgent work on the remaining workers in time`() =
        runTest {
            val cluster =
                clusterOf(4, setOf("w0", "w1")) { task, _ ->
                    Outcome(
                        if (task.job ==
                            "fill"
                        ) {
                            60_000
                        } else {
                            500
                        },
                    )
                }
            val owner = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(owner, "fill", "routine", StepSpec(32, one, 60_000))
            delay(2_000)
            cluster.evacuated += "west"
            delay(100)
            repeat(4) { round ->
                val submittedMs = cluster.clock.monotonicMs()
                cluster.submit(owner, "u-$round", "urgent", StepSpec(8, one, 500))
                delay(2_000)
                val runs = cluster.records.runsOf("u-$round")
                expectThat(runs).hasSize(8).all { get { beganMs - submittedMs }.isLessThan(1_000) }
            }
            expectThat(cluster.startsInWest()).hasSize(16)
            val filling = cluster.records.runsOf("fill").filter { it.worker in setOf("w0", "w1") }
            expectThat(filling).all { get { ending }.isNull() }
        }

    // Guards against work that is lost, or waits on, when every data centre was evacuated for a while.
    @Test
    fun `should wait while all data centres are evacuated and go on once one is released`() =
        runTest {
            val cluster = clusterOf(4, setOf("w0", "w1")) { _, _ -> Outcome(1_000) }
            val owner = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.evacuated += listOf("east", "west")
            delay(100)
            cluster.submit(owner, "a", "routine", StepSpec(4, one, 1_000))
            cluster.submit(owner, "b", "urgent", StepSpec(4, one, 1_000, isGang = true))
            delay(10_000)
            expectThat(cluster.sentStarts).isEmpty()
            cluster.evacuated -= "east"
            delay(2_500)
            expectThat(cluster.stateOf(owner, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.stateOf(owner, "b")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.startsInWest()).isEmpty()
            cluster.evacuated.clear()
            delay(100)
            cluster.submit(owner, "c", "routine", StepSpec(32, one, 1_000))
            delay(500)
            expectThat(cluster.startsInWest()).hasSize(16)
        }

    // Guards against starts under a request that the instance could not read: what it read last is older than the bound.
    @Test
    fun `should start nothing while the requests are not confirmed`() =
        runTest {
            val cluster = clusterOf(2, setOf("w0")) { _, _ -> Outcome(500) }
            val owner = cluster.Instance("one", evacuateMs = 5_000).also { it.start() }
            delay(1_000)
            owner.seesEvacuations = false
            cluster.evacuated += "west"
            val unseenSinceMs = cluster.clock.monotonicMs()
            repeat(40) {
                cluster.submit(owner, "job-$it", "routine", StepSpec(1, one, 500))
                delay(250)
            }
            val last = cluster.sentStarts.last().atMs
            expectThat(last - unseenSinceMs).isGreaterThan(3_000).isLessThan(4_001)
            owner.seesEvacuations = true
            val seenMs = cluster.clock.monotonicMs()
            delay(5_000)
            expectThat(cluster.startsInWest().filter { it.atMs >= seenMs }).isEmpty()
            repeat(40) { expectThat(cluster.stateOf(owner, "job-$it")).isEqualTo(JobState.COMPLETED) }
        }

    // Guards against an order that is sent after the age of the requests was checked for the pass, but not for the order.
    @Test
    fun `should not send a start whose row takes until the requests are too old`() =
        runTest {
            val cluster = clusterOf(2, emptySet()) { _, _ -> Outcome(500) }
            val owner = cluster.Instance("one", evacuateMs = 5_000).also { it.start() }
            delay(1_000)
            owner.seesEvacuations = false
            delay(3_900)
            cluster.submit(owner, "early", "routine", StepSpec(1, one, 500))
            owner.store.answerMs = 60
            delay(500)
            expectThat(cluster.sentStarts).isEmpty()
            owner.seesEvacuations = true
            delay(1_500)
            expectThat(cluster.stateOf(owner, "early")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.events).contains(SchedulerEvent.RUN_START_DIVERTED)
        }

    // Guards against an instance without the bound that stops placing work whenever the table cannot be read.
    @Test
    fun `should obey requests of any age where the deployment states no bound`() =
        runTest {
            val cluster = clusterOf(2, setOf("w0")) { _, _ -> Outcome(500) }
            cluster.evacuated += "west"
            val owner = cluster.Instance("one").also { it.start() }
            delay(1_000)
            owner.seesEvacuations = false
            delay(20_000)
            cluster.submit(owner, "a", "routine", StepSpec(4, one, 500))
            delay(1_500)
            expectThat(cluster.stateOf(owner, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.startsInWest()).isEmpty()
        }

    // Guards against a lasting task that returns to the evacuated data centre, or is lost, when its worker there is lost.
    @Test
    fun `should start a lasting task elsewhere when its worker is lost during the evacuation`() =
        runTest {
            val cluster = clusterOf(4, setOf("w0", "w1")) { _, _ -> Outcome(1_000_000, startupMs = 100) }
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
                clusterOf(4, setOf("w0", "w1")) { task, _ ->
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

    private fun SimulatedCluster.logged(vararg wanted: SchedulerEvent) = loggedEvents.filter { it.event in wanted }

    // Guards against an operator who cannot tell when the data centre can be switched off.
    @Test
    fun `should log when the evacuation is in force and when its last run has ended`() =
        runTest {
            val cluster = clusterOf(4, setOf("w0", "w1")) { _, _ -> Outcome(4_000) }
            val owner = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(owner, "a", "routine", StepSpec(4, one, 4_000))
            delay(500)
            cluster.evacuated += listOf("west", "nowhere")
            delay(1_000)
            val inForce = cluster.logged(SchedulerEvent.EVACUATION_IN_FORCE).single()
            expectThat(inForce.inputs["workers"]).isEqualTo(2)
            expectThat(inForce.inputs["runs"]).isEqualTo(4)
            expectThat(cluster.logged(SchedulerEvent.EVACUATION_FINISHED)).isEmpty()
            delay(4_000)
            val finished = cluster.logged(SchedulerEvent.EVACUATION_FINISHED).single()
            expectThat(finished.inputs["tookMs"] as Long).isGreaterThan(3_400).isLessThan(4_000)
            delay(2_000)
            cluster.evacuated.clear()
            delay(500)
            cluster.evacuated += "west"
            delay(500)
            val events = cluster.loggedEvents.map { it.event }.filter { it.name.startsWith("EVACUATION") }
            expectThat(events.groupingBy { it }.eachCount()).isEqualTo(
                mapOf(
                    SchedulerEvent.EVACUATION_REQUESTED to 3,
                    SchedulerEvent.EVACUATION_IN_FORCE to 2,
                    SchedulerEvent.EVACUATION_UNKNOWN to 1,
                    SchedulerEvent.EVACUATION_FINISHED to 2,
                    SchedulerEvent.EVACUATION_WITHDRAWN to 2,
                ),
            )
        }

    /** The owner dies during an evacuation with four runs left; the next one gets answers of workers after [answerMs]. */
    private suspend fun TestScope.takeOverDuringEvacuation(answerMs: Long): SimulatedCluster {
        val cluster = clusterOf(4, setOf("w0", "w1")) { _, _ -> Outcome(12_000) }
        val first = cluster.Instance("one").also { it.start() }
        delay(500)
        val second = cluster.Instance("two", candidateDelayMs = 100).also { it.start() }
        cluster.submit(first, "a", "routine", StepSpec(4, one, 12_000))
        delay(500)
        cluster.evacuated += "west"
        delay(1_000)
        second.link.renewalAnswerMs = answerMs
        first.kill()
        delay(7_000)
        expectThat(second.isOwner).isEqualTo(true)
        expectThat(cluster.logged(SchedulerEvent.EVACUATION_FINISHED)).isEmpty()
        second.link.renewalAnswerMs = 0
        delay(8_000)
        expectThat(cluster.logged(SchedulerEvent.EVACUATION_FINISHED)).hasSize(1)
        return cluster
    }

    // Guards against a number of runs that are left which leaves out those that the new owner does not know yet.
    @Test
    fun `should log an evacuation as in force once the new owner knows what is on the workers`() =
        runTest {
            val cluster = takeOverDuringEvacuation(answerMs = 1_500)
            val inForce = cluster.logged(SchedulerEvent.EVACUATION_IN_FORCE)
            expectThat(inForce.map { it.inputs["runs"] }).isEqualTo(listOf(4, 4))
        }

    // Guards against a data centre that counts as empty because the new owner does not know yet what runs there.
    @Test
    fun `should not log an evacuation as finished while workers have not listed what is on them`() =
        runTest {
            val cluster = takeOverDuringEvacuation(answerMs = 3_000)
            val inForce = cluster.logged(SchedulerEvent.EVACUATION_IN_FORCE)
            expectThat(inForce.map { it.inputs["unsettled"] }).isEqualTo(listOf(0, 2))
        }

    // Guards against an owner that stands still without a line that says why.
    @Test
    fun `should log that the requests are not confirmed and that they are again`() =
        runTest {
            val cluster = clusterOf(2, emptySet()) { _, _ -> Outcome(500) }
            val owner = cluster.Instance("one", evacuateMs = 5_000).also { it.start() }
            delay(1_000)
            owner.seesEvacuations = false
            delay(7_000)
            expectThat(
                cluster.logged(SchedulerEvent.EVACUATIONS_UNCONFIRMED).single().inputs["limitMs"],
            ).isEqualTo(4_000L)
            owner.seesEvacuations = true
            delay(1_000)
            expectThat(cluster.logged(SchedulerEvent.EVACUATIONS_CONFIRMED)).hasSize(1)
            delay(5_000)
            expectThat(cluster.logged(SchedulerEvent.EVACUATIONS_UNCONFIRMED)).hasSize(1)
        }

    // Guards against urgent work that is slow on a worker which was just released, beside free warm ones, and against a
    // worker that counts as cold for good by an entry that does not change.
    @Test
    fun `should use cold workers last for urgent work until they are warm`() =
        runTest {
            val cluster = clusterOf(2, emptySet()) { _, _ -> Outcome(500) }
            val owner = cluster.Instance("one").also { it.start() }
            cluster.workers.getValue("w0").coldUntilMs = 5_000
            delay(1_000)
            cluster.submit(owner, "early", "urgent", StepSpec(2, one, 500))
            delay(1_500)
            expectThat(cluster.records.runsOf("early")).all { get { worker }.isEqualTo("w1") }
            delay(3_000)
            cluster.submit(owner, "late", "urgent", StepSpec(2, one, 500))
            delay(1_500)
            expectThat(cluster.records.runsOf("late")).hasSize(2).all { get { worker }.isEqualTo("w0") }
        }

    // Guards against a minimum share of a priority that is used up by its runs in the evacuated data centre, whose
    // accelerators do not count in it.
    @Test
    fun `should give each priority its minimum share of the remaining accelerators`() =
        runTest {
            val cluster = clusterOf(11, setOf("w0")) { _, _ -> Outcome(60_000) }
            val batch =
                cluster.manifest.queues
                    .last()
                    .copy(name = "batch", pathPrefix = "/batch/", priority = 3)
            cluster.manifest = cluster.manifest.copy(queues = cluster.manifest.queues + batch)
            val owner = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(owner, "early", "batch", StepSpec(8, one, 60_000))
            delay(500)
            expectThat(cluster.startsInWest()).hasSize(8)
            cluster.evacuated += listOf("west", "east")
            delay(100)
            cluster.submit(owner, "late", "batch", StepSpec(20, one, 60_000))
            cluster.submit(owner, "other", "routine", StepSpec(200, one, 60_000))
            delay(500)
            cluster.evacuated -= "east"
            delay(1_000)
            expectThat(cluster.records.runsOf("late")).hasSize(8)
        }

    // Guards against accelerators that are kept free for urgent work by the share of a service most of which is evacuated.
    @Test
    fun `should keep the share of the remaining accelerators free for urgent work`() =
        runTest {
            val west = List(6) { "w$it" }.toSet()
            val cluster = clusterOf(8, west) { task, _ -> Outcome(if (task.job.startsWith("u")) 400 else 5_000) }
            val owner = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.evacuated += "west"
            delay(100)
            cluster.submit(owner, "u", "urgent", StepSpec(16, one, 400))
            delay(200)
            // Waits until the urgent tasks end. Two of the 16 accelerators that are left; the share of all 64 would be nine, which takes both workers.
            cluster.submit(owner, "a", "routine", StepSpec(16, one, 5_000))
            delay(1_000)
            expectThat(cluster.records.runsOf("a")).hasSize(8)
        }
}
