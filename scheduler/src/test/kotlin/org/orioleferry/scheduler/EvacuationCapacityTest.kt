package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.simulation.clusterWithWest
import org.orioleferry.scheduler.simulation.startsInWest
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull

/** What is left of a service while data centres are evacuated, and the workers that come back. */
class EvacuationCapacityTest {
    private val one = SimulatedCluster.ONE_ACCELERATOR

    // Guards against urgent work that misses its start time because it counts on the evacuated data centre.
    @Test
    fun `should begin urgent work on the remaining workers in time`() =
        runTest {
            val cluster =
                clusterWithWest(4, setOf("w0", "w1")) { task, _ ->
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
            val cluster = clusterWithWest(4, setOf("w0", "w1")) { _, _ -> Outcome(1_000) }
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

    // Guards against a minimum share of a priority that is used up by its runs in the evacuated data centre, whose
    // accelerators do not count in it.
    @Test
    fun `should give each priority its minimum share of the remaining accelerators`() =
        runTest {
            val cluster = clusterWithWest(11, setOf("w0")) { _, _ -> Outcome(60_000) }
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
            val cluster = clusterWithWest(8, west) { task, _ -> Outcome(if (task.job.startsWith("u")) 400 else 5_000) }
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

    // Guards against urgent work that is slow on a worker which was just released, beside free warm ones, and against a
    // worker that counts as cold for good by an entry that does not change.
    @Test
    fun `should use cold workers last for urgent work until they are warm`() =
        runTest {
            val cluster = clusterWithWest(2, emptySet()) { _, _ -> Outcome(500) }
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
}
