package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.Resources
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.RunRecords
import org.orioleferry.scheduler.simulation.SimulatedCluster
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo

/** Urgent work of 2 s to 8 s on workers that are several times slower than others. */
class SlowRunsTest {
    private fun TestScope.cluster(
        workers: Int = 4,
        shortage: ShortageSettings? = ShortageSettings(restoreMs = 500, reclaimMs = 6_000),
        workMs: (Int) -> Long = { 2_000 },
    ) = SimulatedCluster(this, workers) { task, _ -> Outcome(if (task.job == "other") 60_000 else workMs(task.index)) }
        .also { it.shortage = shortage }

    private suspend fun SimulatedCluster.submitUrgent(
        spec: StepSpec,
        runMs: Long,
    ): List<RunRecords.RunRecord> {
        val one = Instance("one").also { it.start() }
        delay(500)
        submit(one, "a", "urgent", spec)
        delay(runMs)
        expectThat(stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
        expectThat(records.violations).isEmpty()
        return records.runsOf("a")
    }

    // Guards against an urgent task of 2 s or 8 s that misses its objective because it runs to its end on a worker that
    // is 5 to 7 times slower than the others.
    @Test
    fun `should restart an urgent run elsewhere whose worker is several times slower`() {
        listOf(2_000L to 5L, 2_000L to 7L, 8_000L to 5L, 8_000L to 7L).forEach { (workMs, slowdown) ->
            runTest {
                val cluster = cluster { workMs }
                cluster.workers.getValue("w0").slowdown = slowdown
                val runs = cluster.submitUrgent(StepSpec(1, WHOLE_WORKER, workMs), runMs = 2 * workMs + 1_000)
                expectThat(runs.map { it.run.attempt }).isEqualTo(listOf(1, 2))
                expectThat(runs[1].worker).isNotEqualTo("w0")
                expectThat(runs[1].beganMs - runs[0].beganMs).isLessThan(2_500)
            }
        }
    }

    @Test
    fun `should leave slow runs alone without the settings for shortage`() =
        runTest {
            val cluster = cluster(shortage = null)
            cluster.workers.getValue("w0").slowdown = 6
            val runs = cluster.submitUrgent(StepSpec(1, WHOLE_WORKER, 2_000), runMs = 13_000)
            expectThat(runs.map { it.run.attempt }).isEqualTo(listOf(1))
        }

    // Guards against a gang that is as slow as its slowest worker, and against members of two attempts.
    @Test
    fun `should restart a whole gang with a member on a slow worker`() =
        runTest {
            val cluster = cluster { 3_000 }
            cluster.workers.getValue("w0").slowdown = 6
            val runs = cluster.submitUrgent(StepSpec(3, WHOLE_WORKER, 3_000, isGang = true), runMs = 8_000)
            expectThat(runs.groupBy { it.run.attempt }.mapValues { it.value.size }).isEqualTo(mapOf(1 to 3, 2 to 3))
            expectThat(runs.filter { it.run.attempt == 2 }).all { get { worker }.isNotEqualTo("w0") }
        }

    // Guards against work that is discarded because all estimates of its queue are far too short.
    @Test
    fun `should leave a gang on sound workers with a bad estimate alone`() {
        listOf(3, 2).forEach { factor ->
            runTest {
                // Members on several workers show one another to be sound.
                val across = cluster { 8_000 }
                val runs = across.submitUrgent(StepSpec(3, WHOLE_WORKER, 8_000L / (factor * 2), isGang = true), 9_000)
                expectThat(runs.map { it.run.attempt }).isEqualTo(listOf(1, 1, 1))
            }
        }
        runTest {
            val together = cluster { 8_000 }
            val runs = together.submitUrgent(StepSpec(4, SimulatedCluster.ONE_ACCELERATOR, 4_000, isGang = true), 9_000)
            expectThat(runs.map { it.run.attempt }).isEqualTo(listOf(1, 1, 1, 1))
        }
    }

    // Guards against a long task, as 3% are, that is restarted again and again and never ends.
    @Test
    fun `should not restart a long task on sound workers more than once`() =
        runTest {
            val cluster = cluster { 14_000 }
            val runs = cluster.submitUrgent(StepSpec(1, WHOLE_WORKER, 2_000), runMs = 18_000)
            expectThat(runs.map { it.run.attempt }).isEqualTo(listOf(1, 2))
        }

    // Guards against a restart of a long task beside others that show its worker to be sound.
    @Test
    fun `should not restart a long task beside a run that proceeds as expected`() =
        runTest {
            val cluster = cluster { index -> if (index == 0) 14_000 else 2_000 }
            val runs = cluster.submitUrgent(StepSpec(3, SimulatedCluster.ONE_ACCELERATOR, 2_000), runMs = 15_000)
            expectThat(runs.map { it.run.attempt }).isEqualTo(listOf(1, 1, 1))
        }

    // Guards against a run that is stopped without a place to start again, and then waits for the slow worker itself.
    @Test
    fun `should leave a slow run alone if no other worker has room for urgent work`() =
        runTest {
            val cluster = cluster(workers = 2) { 3_000 }
            val one = cluster.Instance("two", candidateDelayMs = 60_000)
            cluster.workers.values.forEach { it.slowdown = 6 }
            launchOther(cluster, one)
            val runs = cluster.submitUrgent(StepSpec(1, WHOLE_WORKER, 3_000), runMs = 19_000)
            expectThat(runs.map { it.run.attempt }).isEqualTo(listOf(1))
        }

    private suspend fun launchOther(
        cluster: SimulatedCluster,
        instance: SimulatedCluster.Instance,
    ) = cluster.submit(instance, "other", "urgent", StepSpec(1, WHOLE_WORKER, 360_000))

    // Guards against healthy runs that are stopped because their worker, or the owner, stood still for a while.
    @Test
    fun `should not take a standstill between two listings for a slow worker`() {
        for (beginMs in 50L..1_250L step 300) {
            for (frozenMs in listOf(600L, 900L, 1_600L)) {
                runTest {
                    val cluster = cluster { 2_000 }
                    val one = cluster.Instance("one").also { it.start() }
                    delay(500)
                    cluster.submit(one, "a", "urgent", StepSpec(1, WHOLE_WORKER, 2_000))
                    delay(beginMs)
                    val worker =
                        cluster.workers.getValue(
                            cluster.records.runs
                                .first()
                                .worker,
                        )
                    worker.freeze()
                    delay(frozenMs)
                    worker.thaw()
                    delay(4_000)
                    expectThat(cluster.records.runsOf("a").map { it.run.attempt }).isEqualTo(listOf(1))
                }
            }
        }
    }

    private companion object {
        val WHOLE_WORKER = Resources(8_000, 8_000, 8)
    }
}
