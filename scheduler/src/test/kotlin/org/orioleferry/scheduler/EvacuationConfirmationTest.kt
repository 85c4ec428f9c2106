package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.simulation.clusterWithWest
import org.orioleferry.scheduler.simulation.logged
import org.orioleferry.scheduler.simulation.startsInWest
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Owners that could not read lately which data centres are evacuated. */
class EvacuationConfirmationTest {
    private val one = SimulatedCluster.ONE_ACCELERATOR

    // Guards against starts under a request that the instance could not read: what it read last is older than the bound.
    @Test
    fun `should start nothing while the requests are not confirmed`() =
        runTest {
            val cluster = clusterWithWest(2, setOf("w0")) { _, _ -> Outcome(500) }
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
            val cluster = clusterWithWest(2, emptySet()) { _, _ -> Outcome(500) }
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
            val cluster = clusterWithWest(2, setOf("w0")) { _, _ -> Outcome(500) }
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

    // Guards against an owner that stands still without a line that says why.
    @Test
    fun `should log that the requests are not confirmed and that they are again`() =
        runTest {
            val cluster = clusterWithWest(2, emptySet()) { _, _ -> Outcome(500) }
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
}
