package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.Resources
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.simulation.WriteFault
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Workers that do not refuse what exceeds their capacity, which changes while they run. */
class ShrinkingWorkersTest {
    private val whole = SimulatedCluster.WORKER_CAPACITY

    /** Needs of the jobs by id; a worker sees only the order. */
    private val needs = HashMap<String, Resources>()

    private fun SimulatedCluster.unguarded() {
        workers.values.forEach { worker ->
            worker.refusesWithoutRoom = false
            worker.needOf = { needs.getValue(it.run.task.job) }
        }
    }

    private suspend fun SimulatedCluster.submit(
        instance: SimulatedCluster.Instance,
        id: String,
        count: Int,
        need: Resources,
        queue: String = "routine",
    ) {
        needs[id] = need
        submit(instance, id, queue, StepSpec(count, need, 4_000))
    }

    // Guards against starts beside runs that need more than the capacity that is left, in each kind of resource.
    @Test
    fun `should start nothing on a worker that has shrunk below what runs there`() =
        runTest {
            val shrunk =
                listOf(whole.copy(cpuMillis = 2_000), whole.copy(memoryMb = 2_000), whole.copy(accelerators = 2))
            shrunk.forEach { capacity ->
                val cluster = SimulatedCluster(this, workers = 1) { _, _ -> Outcome(4_000) }
                cluster.unguarded()
                val one = cluster.Instance("one").also { it.start() }
                delay(500)
                cluster.submit(one, "before", 4, Resources(4_000, 16_000, 1))
                delay(500)
                val worker = cluster.workers.getValue("w0")
                worker.capacity = capacity
                delay(600)
                cluster.submit(one, "after", 2, Resources(1_000, 1_000, 1))
                cluster.submit(one, "urgent", 1, Resources(1_000, 1_000, 1), queue = "urgent")
                cluster.submit(one, "narrow", 2, Resources(1_000, 1_000, 0))
                delay(15_000)
                worker.capacity = whole
                delay(15_000)
                expectThat(cluster.records.violations).isEmpty()
                listOf("before", "after", "urgent", "narrow").forEach {
                    expectThat(cluster.stateOf(one, it)).isEqualTo(JobState.COMPLETED)
                }
                one.kill()
            }
        }

    // Guards against a start that was decided before the worker shrank and sent after it, once its row was stored.
    @Test
    fun `should not send starts that no longer fit when their row is stored`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 1) { _, _ -> Outcome(2_000) }
            cluster.unguarded()
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            val two = cluster.Instance("two")
            one.store.nextWrite = { WriteFault.REFUSED }
            cluster.submit(two, "a", 8, Resources(4_000, 16_000, 1))
            delay(20)
            cluster.workers.getValue("w0").capacity = whole.copy(memoryMb = 40_000)
            delay(700)
            one.store.nextWrite = { WriteFault.NONE }
            delay(25_000)
            expectThat(cluster.records.violations).isEmpty()
            expectThat(cluster.stateOf(two, "a")).isEqualTo(JobState.COMPLETED)
        }

    // Guards against workers that stay at their lowest capacity.
    @Test
    fun `should use the whole worker when it has grown again`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 1) { _, _ -> Outcome(4_000) }
            cluster.unguarded()
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.workers.getValue("w0").capacity = whole.copy(accelerators = 0)
            delay(600)
            cluster.submit(one, "a", 8, Resources(1_000, 1_000, 1))
            delay(2_000)
            expectThat(cluster.records.runs).isEmpty()
            cluster.workers.getValue("w0").capacity = whole
            delay(1_000)
            expectThat(cluster.records.runs).hasSize(8)
        }

    // Guards against urgent work that stops others for the resources it needs, on a worker that stays over another one.
    @Test
    fun `should start urgent work only on a worker that is no longer over its capacity`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 1) { _, _ -> Outcome(6_000) }
            cluster.unguarded()
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "low", 8, Resources(4_000, 16_000, 1))
            delay(1_000)
            val worker = cluster.workers.getValue("w0")
            worker.capacity = whole.copy(cpuMillis = 8_000)
            delay(600)
            cluster.submit(one, "urgent", 4, Resources(0, 16_000, 1), queue = "urgent")
            delay(60_000)
            expectThat(cluster.records.violations).isEmpty()
            expectThat(cluster.stateOf(one, "urgent")).isEqualTo(JobState.COMPLETED)
        }

    // Guards against a run that nobody wants any more and that is not counted while it is being stopped.
    @Test
    fun `should count runs that are being stopped because they are unknown`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 1) { _, _ -> Outcome(8_000) }
            cluster.unguarded()
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "old", 6, Resources(1_000, 1_000, 1))
            delay(1_000)
            val two = cluster.Instance("two")
            one.kill()
            two.jobApi.cancel("old", "team", 1_000)
            two.start()
            two.link.stopDelayMs = 900
            cluster.submit(two, "new", 6, Resources(1_000, 1_000, 1))
            delay(30_000)
            expectThat(cluster.records.violations).isEmpty()
            expectThat(cluster.stateOf(two, "new")).isEqualTo(JobState.COMPLETED)
        }
}
