package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.simulation.SimulatedWorker
import org.orioleferry.scheduler.workers.RunEnding
import strikt.api.expectThat
import strikt.assertions.filter
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Tasks of a worker that is lost for good run again in time, and those of one that is only cut off run on. */
class LostWorkerTest {
    // Guards against lasting tasks without a run for more than 9 s after their worker has lost power: calls without an
    // answer went on extending their leases (LastingLostWorker of the independent review).
    @Test
    fun `should run lasting tasks elsewhere within 9 s after their worker has lost power`() {
        for (maxHoldMs in listOf(6_000L, 10_000L)) {
            for (clockRate in listOf(1.0, 0.98)) {
                for (phaseMs in 0L..2_700L step 300) {
                    runTest { loseWorker(maxHoldMs, clockRate, phaseMs) }
                }
            }
        }
    }

    // Guards against orders to start further tasks on the lost worker, which extended the leases of those before.
    @Test
    fun `should run lasting tasks elsewhere within 9 s although more tasks were sent to their lost worker`() {
        for (phaseMs in 0L..2_700L step 300) {
            runTest {
                val cluster = clusterOf(10_000, clockRate = 0.98)
                val one = cluster.startLastingJob()
                delay(5_000 + phaseMs)
                cluster.busyWorker().losePower()
                repeat(16) {
                    cluster.submit(one, "more$it", "routine", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 60_000))
                    delay(250)
                }
                delay(11_000)
                cluster.expectRestartedWithin(LIMIT_MS)
            }
        }
    }

    // Guards against leases that are waited for too long because the worker's clock was last read minutes before.
    @Test
    fun `should run lasting tasks elsewhere within 9 s when their worker was idle for minutes before it is lost`() {
        for (clockRate in listOf(1.0, 0.98)) {
            for (idleMs in listOf(25_000L, 120_000L, 600_000L)) {
                for (phaseMs in 0L..2_700L step 300) {
                    runTest {
                        val cluster = clusterOf(10_000, clockRate)
                        cluster.startLastingJob(idleMs, workMs = phaseMs + 100)
                        cluster.busyWorker().losePower()
                        delay(15_000)
                        cluster.expectRestartedWithin(LIMIT_MS)
                    }
                }
            }
        }
    }

    // Guards against tasks that wait for leases on a worker that was lost while it was idle and never got them.
    @Test
    fun `should start tasks elsewhere at once when a worker was lost while it was idle for minutes`() =
        runTest {
            val cluster = clusterOf(10_000, clockRate = 1.0)
            val one = cluster.Instance("one").also { it.start() }
            delay(120_000)
            cluster.workers.getValue("w0").losePower()
            cluster.submit(one, "a", "routine", StepSpec(28, SimulatedCluster.ONE_ACCELERATOR, 60_000))
            delay(5_000)
            expectThat(
                cluster.records
                    .runsOf("a")
                    .map { it.worker }
                    .toSet(),
            ).isEqualTo(setOf("w1", "w2", "w3"))
            expectThat(cluster.records.runsOf("a")).hasSize(24)
        }

    // Guards against the same at a worker that is leaving.
    @Test
    fun `should run lasting tasks elsewhere within 9 s after a draining worker has lost power`() {
        for (phaseMs in 0L..2_700L step 300) {
            runTest {
                val cluster = clusterOf(10_000, clockRate = 0.98)
                cluster.startLastingJob()
                delay(5_000 + phaseMs)
                cluster.busyWorker().isDraining = true
                delay(700)
                cluster.busyWorker().losePower()
                delay(15_000)
                cluster.expectRestartedWithin(LIMIT_MS)
            }
        }
    }

    private suspend fun TestScope.loseWorker(
        maxHoldMs: Long,
        clockRate: Double,
        phaseMs: Long,
    ) {
        val cluster = clusterOf(maxHoldMs, clockRate)
        cluster.startLastingJob()
        delay(5_000 + phaseMs)
        cluster.busyWorker().losePower()
        delay(15_000)
        cluster.expectRestartedWithin(LIMIT_MS)
    }

    // Guards against a bound on the leases that costs the work of a healthy worker behind a short cut.
    @Test
    fun `should keep the runs of a worker that is cut off for a short time`() {
        for (clockRate in listOf(1.0, 0.98)) {
            for (phaseMs in 0L..2_700L step 300) {
                runTest {
                    val cluster = clusterOf(6_000, clockRate)
                    cluster.startLastingJob()
                    delay(5_000 + phaseMs)
                    val worker = cluster.busyWorker()
                    worker.isReachable = false
                    delay(SHORT_CUT_MS)
                    worker.isReachable = true
                    delay(15_000)
                    expectThat(cluster.records.runs).hasSize(WIDTH)
                }
            }
        }
    }

    // Guards against a second run of a task while the first goes on behind a cut, until its lease ends on a slow clock.
    @Test
    fun `should not run a task twice whose worker is cut off and runs on`() {
        for (clockRate in listOf(1.0, 0.98)) {
            for (phaseMs in 0L..2_700L step 300) {
                runTest {
                    val cluster = clusterOf(10_000, clockRate)
                    cluster.startLastingJob()
                    delay(5_000 + phaseMs)
                    cluster.busyWorker().isReachable = false
                    delay(20_000)
                    expectThat(cluster.records.violations).isEmpty()
                    expectThat(cluster.records.runs).filter { it.endedMs == null }.hasSize(WIDTH)
                }
            }
        }
    }

    // Guards against the same while calls arrive and extend the leases, and only their answers are lost.
    @Test
    fun `should not run a task twice whose worker answers in vain`() {
        for (clockRate in listOf(1.0, 0.98)) {
            for (phaseMs in 0L..2_700L step 300) {
                runTest {
                    val cluster = clusterOf(10_000, clockRate)
                    val one = cluster.startLastingJob()
                    delay(5_000 + phaseMs)
                    one.link.dropsRenewalAnswers = true
                    delay(30_000)
                    expectThat(cluster.records.violations).isEmpty()
                }
            }
        }
    }

    private fun TestScope.clusterOf(
        maxHoldMs: Long,
        clockRate: Double,
    ): SimulatedCluster {
        val cluster = SimulatedCluster(this) { task, _ -> Outcome(if (task.job == "serve") LONG_MS else 60_000) }
        cluster.workers.values.forEach {
            it.maxHoldMs = maxHoldMs
            it.clockRate = clockRate
        }
        return cluster
    }

    private suspend fun SimulatedCluster.startLastingJob(
        idleMs: Long = 500,
        workMs: Long = 1_000,
    ): SimulatedCluster.Instance {
        val one = Instance("one").also { it.start() }
        delay(idleMs)
        val step = StepSpec(WIDTH, SimulatedCluster.ONE_ACCELERATOR, 60_000, isLasting = true)
        submit(one, "serve", "routine", step)
        delay(workMs)
        return one
    }

    private fun SimulatedCluster.busyWorker(): SimulatedWorker = workers.getValue(records.runs.first().worker)

    private fun SimulatedCluster.expectRestartedWithin(limitMs: Long) {
        val lost = records.runsOf("serve").filter { it.ending == RunEnding.STOPPED }
        expectThat(lost).hasSize(WIDTH)
        lost.forEach { run ->
            val next = records.runs.first { it.run.task == run.run.task && it.beganMs >= (run.endedMs ?: 0) }
            expectThat(next.beganMs - (run.endedMs ?: 0)).isLessThan(limitMs)
        }
        expectThat(records.violations).isEmpty()
    }

    private companion object {
        const val WIDTH = 4
        const val LONG_MS = 10_000_000L

        // Rule of the platform: from 6 s after its last run a lasting task may have none for at most 3 s.
        const val LIMIT_MS = 9_000L
        const val SHORT_CUT_MS = 2_800L
    }
}
