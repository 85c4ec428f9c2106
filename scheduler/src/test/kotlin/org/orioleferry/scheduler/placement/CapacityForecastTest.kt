package org.orioleferry.scheduler.placement

import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.Resources
import org.orioleferry.scheduler.model.ServiceWait
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.single

/** Services of 245 workers with 128 cores and 8 accelerators each: 31,360 cores and 1,960 accelerators. */
class CapacityForecastTest {
    private val worker = WorkerGroup("pool", Resources(128_000, 512_000, 8), emptySet(), 245)

    private fun accelerators(
        priority: Int,
        tasks: Int,
        taskMs: Long = 10_000,
    ) = OpenWorkClass("pool", priority, "", Resources(1_000, 4_000, 1), tasks.toDouble() * taskMs)

    private fun gangs(
        priority: Int,
        tasks: Int,
    ) = OpenWorkClass("pool", priority, "", Resources(52_000, 100_000, 0), tasks * 10_000.0)

    private fun waitsOf(
        vararg work: OpenWorkClass,
        workers: List<WorkerGroup> = listOf(worker),
    ): List<ServiceWait> = CapacityForecast().waitsOf(workers, work.toList())

    // Guards against a wait other than the open work over the capacity: 4,900 tasks of 10 s on 1,960 accelerators.
    @Test
    fun `should divide the open work of a priority and the more urgent ones by the capacity`() {
        expectThat(waitsOf(accelerators(1, 4_900))).isEqualTo(listOf(ServiceWait("pool", 1, acceleratorMs = 25_000)))
        expectThat(waitsOf(accelerators(0, 1_960), accelerators(1, 1_960), accelerators(2, 1_960)))
            .isEqualTo(listOf(ServiceWait("pool", 1, 20_000), ServiceWait("pool", 2, 30_000)))
    }

    // Guards against jobs that are refused beside free accelerators, because a few tasks of others take an hour.
    @Test
    fun `should forecast no wait while the tasks that can run leave capacity free`() {
        val long = accelerators(1, tasks = 1_959, taskMs = 3_600_000).copy(readyTasks = 1_959)
        expectThat(waitsOf(long)).isEmpty()
        expectThat(waitsOf(long.copy(readyTasks = 1_960)).map { it.priority }).isEqualTo(listOf(1))
    }

    // Guards against a forecast that names every queue and makes the lease row long, or that names urgent work.
    @Test
    fun `should not name short waits, urgent work or a service without workers`() {
        expectThat(waitsOf(accelerators(1, 980))).isEmpty()
        expectThat(waitsOf(accelerators(0, 49_000))).isEmpty()
        expectThat(waitsOf(accelerators(1, 49_000), workers = emptyList())).isEmpty()
        expectThat(waitsOf(accelerators(1, 49_000).copy(service = "new"))).isEmpty()
        expectThat(waitsOf(accelerators(1, 49_000).copy(taskMs = 0.0))).isEmpty()
    }

    // Guards against a forecast that grows by work that can never be placed: a task of 9 accelerators, or with a label that no
    // worker has, beside an idle service.
    @Test
    fun `should not count tasks that fit no worker`() {
        val wide = OpenWorkClass("pool", 1, "", Resources(1_000, 1_000, 9), 1e9)
        val unknown = accelerators(1, 1_000_000).copy(label = "unknown")
        expectThat(waitsOf(wide, unknown)).isEmpty()
        expectThat(waitsOf(wide, unknown, accelerators(1, 4_900))).single().get { acceleratorMs }.isEqualTo(25_000)
    }

    // Guards against the refusal of small tasks behind gangs that cannot hold them up: tasks of 52 cores leave 24 of a
    // worker's 128 cores, whatever their number.
    @Test
    fun `should leave smaller tasks the capacity that more urgent tasks cannot use`() {
        val waits = waitsOf(gangs(1, 50_000), accelerators(2, 980))
        expectThat(waits).single().get { priority }.isEqualTo(1)
        expectThat(waits).single().get { cpuMs }.isGreaterThan(800_000)
    }

    // Guards against the refusal of all work because of a queue for a few labelled workers: hours of work for 10 of 255.
    @Test
    fun `should count work for a few workers as at most the capacity of these`() {
        val labelled = worker.copy(labels = setOf("special"), count = 10)
        val special = accelerators(1, 100_000).copy(label = "special")
        val waits = waitsOf(special, accelerators(1, 4_900), workers = listOf(worker, labelled))
        expectThat(waits).single().get { acceleratorMs }.isEqualTo(25_000)
    }

    // Guards against a wait that takes no account of the planner's minimum share: 1,000 s of priority 1 ahead of 2 s of
    // priority 2, which holds a tenth of the service.
    @Test
    fun `should not exceed the wait for the minimum share`() {
        val waits = waitsOf(accelerators(1, 196_000), accelerators(2, 392))
        expectThat(waits.single { it.priority == 2 }.acceleratorMs).isEqualTo(20_000)
    }

    // Guards against the refusal of new jobs behind expired ones of their own priority, which the planner places after them.
    @Test
    fun `should count expired work of more urgent priorities only`() {
        val expired = accelerators(1, 49_000).copy(isLate = true)
        expectThat(waitsOf(expired, accelerators(1, 490))).isEmpty()
        val below = waitsOf(expired, accelerators(2, 4_900))
        expectThat(below.single { it.priority == 2 }.acceleratorMs).isEqualTo(250_000)
    }

    // Guards against lasting runs that count as free capacity: half of the accelerators are held for good.
    @Test
    fun `should not count what lasting runs hold as capacity`() {
        val half = worker.copy(held = HeldResources(accelerators = 980))
        expectThat(waitsOf(accelerators(1, 4_900), workers = listOf(half)))
            .single()
            .get { acceleratorMs }
            .isEqualTo(50_000)
        val full = worker.copy(held = HeldResources(accelerators = 1_960))
        expectThat(waitsOf(accelerators(1, 1), gangs(1, 1), workers = listOf(full)))
            .isEqualTo(listOf(ServiceWait("pool", 1, acceleratorMs = 24L * 3_600_000)))
    }

    // Guards against sums that overflow: 40,000 tasks of the longest estimate on all cores of the largest worker.
    @Test
    fun `should bound the wait of the largest amounts`() {
        val largest = WorkerGroup("pool", Resources(Int.MAX_VALUE, Int.MAX_VALUE, Int.MAX_VALUE), emptySet(), 970)
        val month = 30L * 24 * 3_600 * 1_000
        val work = OpenWorkClass("pool", 1, "", largest.capacity, 40_000.0 * month)
        expectThat(waitsOf(work, work.copy(priority = 0), workers = listOf(largest)))
            .isEqualTo(listOf(ServiceWait("pool", 1, 24L * 3_600_000, 24L * 3_600_000)))
    }

    // Guards against an update that takes as long as a pass at the size to design for: 970 workers of 20 kinds and 2,500
    // waiting steps that all differ.
    @Test
    fun `should forecast the largest installation within the time of a pass`() {
        val workers = List(20) { worker.copy(capacity = Resources(64_000 + it, 512_000, 8), count = 49) }
        val work = List(2_500) { OpenWorkClass("pool", it % 3, "", Resources(1_000 + it, 1_000, 1), 1e6 * it) }
        repeat(3) { CapacityForecast().waitsOf(workers, work) }
        val beganNs = System.nanoTime()
        CapacityForecast().waitsOf(workers, work)
        expectThat(50_000_000L).isGreaterThan(System.nanoTime() - beganNs)
    }
}
