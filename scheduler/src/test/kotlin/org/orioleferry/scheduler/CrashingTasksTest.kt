package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.workers.TaskId
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class CrashingTasksTest {
    private fun step(
        count: Int,
        isGang: Boolean = false,
    ) = StepSpec(count, SimulatedCluster.ONE_ACCELERATOR, 5_000, isGang = isGang)

    private fun SimulatedCluster.crashOn(isDeadly: (TaskId) -> Boolean) {
        workers.values.forEach { worker -> worker.crashesAfterMs = { task -> if (isDeadly(task)) 10 else null } }
    }

    private fun SimulatedCluster.crashesOf(job: String): Int =
        records.crashesByTask
            .filterKeys { it.job == job }
            .values
            .sum()

    // Guards against a task that crashes one worker after another for as long as its job lives (BUDGET on omotnica-split).
    @Test
    fun `should give up a task that crashes each worker that starts it`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 6) { _, _ -> Outcome(5_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(15_000)
            cluster.crashOn { it.job == "deadly" }
            cluster.submit(one, "sound", "routine", step(12))
            delay(4_500)
            cluster.submit(one, "deadly", "routine", step(1))
            delay(30_000)
            expectThat(cluster.stateOf(one, "deadly")).isEqualTo(JobState.FAILED)
            expectThat(cluster.crashesOf("deadly")).isEqualTo(2)
            expectThat(cluster.stateOf(one, "sound")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a crash that is only seen when the worker's next life has the same id.
    @Test
    fun `should count crashes after which the worker has another id`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 12) { _, _ -> Outcome(5_000) }
            cluster.replaceCrashedWorkers(List(6) { "w${it + 6}" })
            val one = cluster.Instance("one").also { it.start() }
            delay(15_000)
            cluster.crashOn { it.job == "deadly" }
            cluster.submit(one, "deadly", "routine", step(1))
            delay(40_000)
            expectThat(cluster.stateOf(one, "deadly")).isEqualTo(JobState.FAILED)
            expectThat(cluster.crashesOf("deadly")).isEqualTo(2)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against sound tasks that are given up with the task beside which they ran and were started again.
    @Test
    fun `should complete the tasks of other jobs that crash together with a deadly one`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 4) { _, _ -> Outcome(5_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(15_000)
            cluster.crashOn { it.job.startsWith("deadly") && it.index == 0 }
            repeat(4) { cluster.submit(one, "sound-$it", "routine", step(4)) }
            repeat(2) { cluster.submit(one, "deadly-$it", "routine", step(4)) }
            delay(90_000)
            repeat(2) { expectThat(cluster.stateOf(one, "deadly-$it")).isEqualTo(JobState.FAILED) }
            repeat(4) { expectThat(cluster.stateOf(one, "sound-$it")).isEqualTo(JobState.COMPLETED) }
            repeat(2) { expectThat(cluster.crashesOf("deadly-$it")).isLessThanOrEqualTo(5) }
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a count that each new owner begins anew.
    @Test
    fun `should count crashes over changes of the owner`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 6) { _, _ -> Outcome(5_000) }
            val instances = List(2) { cluster.Instance("i$it") }
            instances.forEach { it.start() }
            delay(15_000)
            cluster.crashOn { it.job == "deadly" }
            cluster.submit(instances[0], "deadly", "routine", step(1))
            repeat(20) {
                delay(2_500)
                instances.firstOrNull { it.isOwner }?.kill()
                delay(2_500)
                instances.forEach { instance -> if (!instance.isOwner) instance.start() }
            }
            delay(30_000)
            expectThat(cluster.stateOf(instances[0], "deadly")).isEqualTo(JobState.FAILED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a line of the log for each call to a worker that is gone while its entry is still listed.
    @Test
    fun `should count a crash once that a new owner sees by the next life of the worker`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 1) { _, _ -> Outcome(5_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", step(2))
            delay(1_000)
            one.kill()
            val worker = cluster.workers.getValue("w0")
            worker.crash()
            worker.isReplaced = true
            cluster.Instance("two").start()
            delay(6_000)
            expectThat(cluster.events.filter { it == SchedulerEvent.WORKER_CRASHED }).hasSize(1)
            expectThat(cluster.events.filter { it == SchedulerEvent.TASK_SUSPECTED }).hasSize(2)
        }

    // Guards against a start without an answer that is not counted, although it has crashed the worker.
    @Test
    fun `should count crashes under starts that have no answer`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 6) { _, _ -> Outcome(5_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(15_000)
            cluster.crashOn { it.job == "deadly" }
            cluster.workers.values.forEach { it.startAnswersToDrop = 10 }
            cluster.submit(one, "deadly", "routine", step(1))
            delay(60_000)
            expectThat(cluster.stateOf(one, "deadly")).isEqualTo(JobState.FAILED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a crash that is forgotten because the worker comes back only after its leases have expired.
    @Test
    fun `should count crashes of workers that are back after their leases have expired`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 6) { _, _ -> Outcome(5_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(15_000)
            cluster.workers.values.forEach { it.restartMs = 9_000 }
            cluster.crashOn { it.job == "deadly" }
            cluster.submit(one, "deadly", "routine", step(1))
            delay(90_000)
            expectThat(cluster.stateOf(one, "deadly")).isEqualTo(JobState.FAILED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a task that passes each trial and crashes its worker later.
    @Test
    fun `should give up a task that crashes its workers some time after its start`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 6) { _, _ -> Outcome(8_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(15_000)
            cluster.workers.values.forEach { it.crashesAfterMs = { task -> if (task.job == "deadly") 5_000 else null } }
            repeat(3) { cluster.submit(one, "sound-$it", "routine", step(6)) }
            cluster.submit(one, "deadly", "routine", step(1))
            delay(90_000)
            expectThat(cluster.stateOf(one, "deadly")).isEqualTo(JobState.FAILED)
            repeat(3) { expectThat(cluster.stateOf(one, "sound-$it")).isEqualTo(JobState.COMPLETED) }
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a suspect that is started beside others, since it has waited for the owner and not for a worker.
    @Test
    fun `should begin the wait for an empty worker when the task can be started`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 6) { _, _ -> Outcome(5_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(15_000)
            cluster.crashOn { it.job == "deadly" }
            cluster.submit(one, "deadly", "routine", step(1))
            delay(4_000)
            val first = cluster.records.runsOf("deadly").size
            one.kill()
            delay(8_000)
            cluster.submit(cluster.Instance("two").also { it.start() }, "sound", "routine", step(20))
            delay(20_000)
            expectThat(first).isLessThanOrEqualTo(2)
            expectThat(cluster.stateOf(one, "deadly")).isEqualTo(JobState.FAILED)
            expectThat(cluster.crashesOf("deadly")).isLessThanOrEqualTo(3)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a gang with one deadly member that goes on for as long as its job lives.
    @Test
    fun `should give up a gang with a member that crashes its worker`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 6) { _, _ -> Outcome(5_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(15_000)
            cluster.crashOn { it.job == "deadly" && it.index == 3 }
            cluster.submit(one, "sound", "routine", step(8))
            cluster.submit(one, "deadly", "routine", step(12, isGang = true))
            delay(60_000)
            expectThat(cluster.stateOf(one, "deadly")).isEqualTo(JobState.FAILED)
            expectThat(cluster.stateOf(one, "sound")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against sound jobs that are given up because operators kill workers or a worker is unstable.
    @Test
    fun `should not give up tasks whose workers crash by themselves`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 5) { _, _ -> Outcome(12_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(15_000)
            repeat(6) { cluster.submit(one, "job-$it", "routine", step(4)) }
            repeat(40) { at ->
                delay(1_500)
                cluster.workers.getValue("w0").crash()
                if (at % 10 == 0) cluster.workers.getValue("w${1 + at / 10}").crash()
            }
            delay(60_000)
            repeat(6) { expectThat(cluster.stateOf(one, "job-$it")).isEqualTo(JobState.COMPLETED) }
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against a silent, cut off or draining worker that is taken for a crashed one.
    @Test
    fun `should not suspect tasks whose worker was only out of reach`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 1) { _, _ -> Outcome(9_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "routine", step(1))
            repeat(6) {
                delay(1_000)
                cluster.workers.getValue("w0").isReachable = false
                delay(9_000)
                cluster.workers.getValue("w0").isReachable = true
            }
            delay(30_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.events.filter { it == SchedulerEvent.TASK_SUSPECTED }).hasSize(0)
        }
}
