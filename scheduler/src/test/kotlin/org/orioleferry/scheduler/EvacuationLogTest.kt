package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.simulation.clusterWithWest
import org.orioleferry.scheduler.simulation.logged
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** What the operator sees of an evacuation in the log. */
class EvacuationLogTest {
    private val one = SimulatedCluster.ONE_ACCELERATOR

    /** The owner dies during an evacuation with four runs left; the next one gets answers of workers after [answerMs]. */
    private suspend fun TestScope.takeOverDuringEvacuation(answerMs: Long): SimulatedCluster {
        val cluster = clusterWithWest(4, setOf("w0", "w1")) { _, _ -> Outcome(12_000) }
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

    // Guards against an operator who cannot tell when the data centre can be switched off.
    @Test
    fun `should log when the evacuation is in force and when its last run has ended`() =
        runTest {
            val cluster = clusterWithWest(4, setOf("w0", "w1")) { _, _ -> Outcome(4_000) }
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
}
