package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.Resources
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.workers.RunEnding
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Predictions of the end of runs that no listing has shown yet, on queues whose estimates are far off. */
class LearntDurationsTest {
    /**
     * Starts a cluster that has seen 16 runs of one queue, which took [ratio] times their estimate, and a run "a", which takes
     * [tailFactor] times as long as theirs.
     */
    private suspend fun TestScope.runAfterLearning(
        ratio: Double,
        workMs: Long,
        shortage: ShortageSettings? = SHORTAGE,
        tailFactor: Long = 1,
    ): SimulatedCluster {
        val cluster =
            SimulatedCluster(this, workers = 2) { task, _ ->
                Outcome(
                    WORK_MS[task.job] ?: (workMs * tailFactor),
                )
            }
        cluster.shortage = shortage
        val one = cluster.Instance("one").also { it.start() }
        delay(500)
        val learntMs = (WORK_MS.getValue("learnt") / ratio).toLong()
        cluster.submit(one, "learnt", "routine", StepSpec(16, SimulatedCluster.ONE_ACCELERATOR, learntMs))
        delay(1_500)
        expectThat(cluster.stateOf(one, "learnt")).isEqualTo(JobState.COMPLETED)
        cluster.submit(one, "a", "routine", StepSpec(1, SEVEN_ACCELERATORS, (workMs / ratio).toLong()))
        delay(200)
        return cluster
    }

    private suspend fun withdrawWorkerOf(
        cluster: SimulatedCluster,
        noticeMs: Long,
    ) {
        val record = cluster.records.runsOf("a").single()
        val worker = cluster.workers.getValue(record.worker)
        worker.leavesAtMs = cluster.clock.monotonicMs() + noticeMs
        worker.isDraining = true
        delay(noticeMs)
        // The worker goes silently: its entry lapses later.
        worker.crash()
        worker.isReachable = false
    }

    // Guards against work that is lost with a leaving worker because the estimate says that it ends before: on a queue
    // whose runs take twice their estimate, it has to be stopped in time and to start elsewhere.
    @Test
    fun `should stop runs on a leaving worker that end in time by their estimate only`() =
        runTest {
            val cluster = runAfterLearning(ratio = 2.0, workMs = 3_000)
            withdrawWorkerOf(cluster, noticeMs = 1_700)
            delay(500)
            expectThat(cluster.records.runsOf("a").map { it.ending }).isEqualTo(listOf(RunEnding.STOPPED, null))
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against stopping work that ends in time on a queue whose runs take half of their estimate.
    @Test
    fun `should leave runs on a leaving worker alone that end in time by the learnt durations`() =
        runTest {
            val cluster = runAfterLearning(ratio = 0.5, workMs = 2_000)
            withdrawWorkerOf(cluster, noticeMs = 2_400)
            expectThat(cluster.records.runsOf("a").map { it.ending }).isEqualTo(listOf(RunEnding.DONE))
        }

    /** Submits urgent work that fills a worker while "a" and "b" fill both; returns which of their runs were stopped. */
    private suspend fun TestScope.stoppedForUrgent(shortage: ShortageSettings?): List<String> {
        val cluster = runAfterLearning(ratio = 0.5, workMs = 2_000, shortage)
        val two = cluster.Instance("two", candidateDelayMs = 60_000)
        delay(1_100)
        cluster.submit(two, "b", "routine", StepSpec(1, WHOLE_WORKER, 12_000))
        delay(300)
        cluster.submit(two, "now", "urgent", StepSpec(1, WHOLE_WORKER, 1_000))
        delay(2_000)
        expectThat(cluster.records.runsOf("now").map { it.ending }).isEqualTo(listOf(RunEnding.DONE))
        return cluster.records.runs
            .filter { it.ending == RunEnding.STOPPED }
            .map { it.run.task.job }
    }

    // Guards against the work that is discarded by stopping a run just before it ends: 236,000 core-seconds were discarded
    // on the heaviest day of the second deployment. Without the learnt durations the younger run is stopped.
    @Test
    fun `should wait for a run that ends soon by the learnt durations instead of stopping another one`() {
        runTest { expectThat(stoppedForUrgent(SHORTAGE)).isEqualTo(emptyList()) }
        runTest { expectThat(stoppedForUrgent(shortage = null)).isEqualTo(listOf("b")) }
    }

    // Guards against urgent work that waits for a run which its progress shows to be one of the 3% that take 7 times as long.
    @Test
    fun `should not wait for a run whose progress contradicts the learnt durations`() =
        runTest {
            val cluster = runAfterLearning(ratio = 0.5, workMs = 2_000, tailFactor = 7)
            val two = cluster.Instance("two", candidateDelayMs = 60_000)
            // Its end makes the worker list the progress of the run beside it.
            cluster.submit(two, "short", "routine", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 1_800))
            cluster.submit(two, "b", "routine", StepSpec(1, WHOLE_WORKER, 12_000))
            delay(1_500)
            val submittedMs = cluster.clock.monotonicMs()
            cluster.submit(two, "now", "urgent", StepSpec(1, WHOLE_WORKER, 1_000))
            delay(2_000)
            expectThat(cluster.records.runsOf("now").single()) {
                get { ending }.isEqualTo(RunEnding.DONE)
                get { beganMs - submittedMs }.isLessThan(1_000)
            }
        }

    // Guards against urgent work that waits for the reservation of a run which has outlasted most runs of its queue.
    @Test
    fun `should not wait for a run that takes longer than most runs of its queue`() =
        runTest {
            val cluster = runAfterLearning(ratio = 0.5, workMs = 1_000, tailFactor = 7)
            val two = cluster.Instance("two", candidateDelayMs = 60_000)
            cluster.submit(two, "b", "routine", StepSpec(1, WHOLE_WORKER, 12_000))
            delay(1_000)
            val submittedMs = cluster.clock.monotonicMs()
            cluster.submit(two, "now", "urgent", StepSpec(1, WHOLE_WORKER, 1_000))
            delay(2_000)
            expectThat(
                cluster.records
                    .runsOf("now")
                    .single()
                    .beganMs - submittedMs,
            ).isLessThan(1_000)
        }

    private companion object {
        val SHORTAGE = ShortageSettings(restoreMs = 500, reclaimMs = 6_000)
        val WHOLE_WORKER = Resources(8_000, 8_000, 8)
        val SEVEN_ACCELERATORS = Resources(7_000, 7_000, 7)
        val WORK_MS = mapOf("learnt" to 1_000L, "short" to 900L, "b" to 6_000L, "now" to 500L)
    }
}
