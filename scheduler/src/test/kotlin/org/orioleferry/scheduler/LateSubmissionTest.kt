package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.callers.LookupResult
import org.orioleferry.scheduler.callers.SubmitResult
import org.orioleferry.scheduler.model.JobSpec
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.simulation.WriteFault
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.Rows
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isNull

class LateSubmissionTest {
    private val step = StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 1_000)

    /** Submits job "a" so that no write is answered; returns the writes, which the store may still perform. */
    private suspend fun SimulatedCluster.submitWithoutAnswer(
        instance: SimulatedCluster.Instance,
    ): List<RowTransaction> {
        val late = ArrayList<RowTransaction>()
        instance.store.nextWrite = { transaction ->
            val isSubmission = transaction.writes.any { it.key == Rows.job("a") }
            if (isSubmission) late += transaction
            if (isSubmission) WriteFault.ANSWER_LOST_NOT_APPLIED else WriteFault.NONE
        }
        expectThat(submit(instance, "a", "routine", step)).isA<SubmitResult.Unknown>()
        instance.store.nextWrite = { WriteFault.NONE }
        expectThat(late).isNotEmpty()
        return late
    }

    // Guards against a job that runs after its cancelling was acknowledged, since the store performs its submission late
    // (UNASKED on omotnica-split, review/4).
    @Test
    fun `should not run a job whose submission takes effect after its cancelling`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val one = cluster.Instance("one").also { it.start() }
            val two = cluster.Instance("two").also { it.start() }
            delay(500)
            val late = cluster.submitWithoutAnswer(one)
            expectThat(two.jobApi.cancel("a", "team", 2_000)).isEqualTo(LookupResult.NoSuchJob)
            late.forEach { cluster.rows.apply(it) }
            delay(5_000)
            expectThat(cluster.records.runs).isEmpty()
            expectThat(cluster.stateOf(one, "a")).isNull()
        }

    // Guards against a repeated submission that runs although the job's cancelling was acknowledged in between.
    @Test
    fun `should refuse a submission that arrives after the cancelling`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            repeat(2) {
                expectThat(one.jobApi.cancel("a", "team", 2_000)).isEqualTo(LookupResult.NoSuchJob)
                expectThat(cluster.submit(one, "a", "routine", step)).isEqualTo(SubmitResult.Cancelled)
            }
            delay(3_000)
            expectThat(cluster.records.runs).isEmpty()
        }

    // Guards against a workspace that keeps another one from using an id.
    @Test
    fun `should accept a job under an id that another workspace has cancelled`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            one.jobApi.cancel("a", "other", 2_000)
            expectThat(cluster.submit(one, "a", "routine", step)).isEqualTo(SubmitResult.Accepted(isRepeat = false))
            val others = JobSpec("a", "routine", "pool", "other", "payload", listOf(step))
            expectThat(one.jobApi.submit(others, 2_000)).isA<SubmitResult.NotAccepted>()
            delay(5_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
        }

    // Guards against a cancelling that is acknowledged although nothing keeps the submission from taking effect.
    @Test
    fun `should not acknowledge the cancelling of an unknown job before it is stored`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val one = cluster.Instance("one")
            one.store.nextWrite = { WriteFault.ANSWER_LOST_NOT_APPLIED }
            expectThat(one.jobApi.cancel("a", "team", 2_000)).isA<LookupResult.Unknown>()
            one.store.nextWrite = { WriteFault.REFUSED }
            expectThat(one.jobApi.cancel("a", "team", 2_000)).isA<LookupResult.Unavailable>()
        }

    // Guards against records of cancelled submissions that fill the store.
    @Test
    fun `should remove the record of a cancelled submission after the retention time`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            one.jobApi.cancel("a", "team", 2_000)
            delay(100_000)
            expectThat(cluster.rowsOf("a")).isNotEmpty()
            delay(100_000)
            expectThat(cluster.rowsOf("a")).isEmpty()
        }

    private fun SimulatedCluster.rowsOf(id: String) = rows.scan(Rows.JOBS, Rows.job(id).part, null, null, 10).rows
}
