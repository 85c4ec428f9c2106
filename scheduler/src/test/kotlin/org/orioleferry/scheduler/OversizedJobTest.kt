package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.callers.SubmitResult
import org.orioleferry.scheduler.model.AcceptedJob
import org.orioleferry.scheduler.model.JobSpec
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.RowWrite
import org.orioleferry.scheduler.store.Rows
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

/** One job that is too large, cannot be read or cannot be stored must not stop the jobs of others. */
class OversizedJobTest {
    private val urgentStep = StepSpec(2, SimulatedCluster.ONE_ACCELERATOR, 500)

    private fun SimulatedCluster.put(
        spec: JobSpec,
        progress: String? = null,
    ) {
        val job = RowWrite(Rows.job(spec.id), Rows.encode(AcceptedJob(spec, clock.wallMs())))
        rows.apply(RowTransaction(writes = listOfNotNull(job, progress?.let { RowWrite(Rows.progress(spec.id), it) })))
    }

    private fun specOf(
        id: String,
        step: StepSpec,
    ) = JobSpec(id, "routine", "pool", "team", "payload", listOf(step))

    // Guards against a job whose number of tasks exhausts the owner's memory: no instance could own the installation any
    // more, because each of them read the same row.
    @Test
    fun `should refuse a job with more tasks than its progress row holds and go on`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            val result =
                cluster.submit(
                    one,
                    "huge",
                    "routine",
                    StepSpec(2_000_000_000, SimulatedCluster.ONE_ACCELERATOR),
                )
            expectThat(result is SubmitResult.Accepted).isFalse()
            cluster.submit(one, "a", "urgent", urgentStep)
            delay(3_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
        }

    // Guards against the same by a row that an earlier version has accepted.
    @Test
    fun `should end a stored job that is beyond the limits and go on`() =
        runTest {
            val cluster = SimulatedCluster(this)
            cluster.put(specOf("huge", StepSpec(2_000_000_000, SimulatedCluster.ONE_ACCELERATOR)))
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "urgent", urgentStep)
            delay(3_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.stateOf(one, "huge")).isEqualTo(JobState.FAILED)
        }

    // Guards against tasks that are started again although they are done or running, because the row that says so cannot
    // be read.
    @Test
    fun `should leave a job alone whose progress cannot be read`() =
        runTest {
            val cluster = SimulatedCluster(this)
            cluster.put(specOf("damaged", urgentStep), progress = """{"state":"RUNNING","steps":[{"occ""")
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "urgent", urgentStep)
            delay(3_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.runsOf("damaged")).isEmpty()
        }

    // Guards against an exception that one job causes in a pass: it ended the term, and the next owner read the same job.
    @Test
    fun `should go on when a job that has begun cannot be handled`() =
        runTest {
            val cluster = SimulatedCluster(this)
            val step = urgentStep.copy(after = listOf(7))
            cluster.put(specOf("damaged", step), progress = """{"state":"RUNNING","workspace":"team"}""")
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "a", "urgent", urgentStep)
            delay(3_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.runsOf("damaged")).isEmpty()
        }

    // Guards against a wide job whose progress outgrows the largest row that the store accepts: its starts could not be
    // stored, and neither could the progress of the jobs in the same transaction.
    @Test
    fun `should complete a job that is wider than its row holds started tasks`() =
        runTest {
            val cluster = SimulatedCluster(this, workers = 200) { _, _ -> Outcome(2_000) }
            cluster.rows.maxRowBytes = SchedulerSettings("one", "dc").maxRowBytes
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            val step = StepSpec(3_000, SimulatedCluster.ONE_ACCELERATOR, 2_000, savesProgress = true)
            cluster.submit(one, "wide", "routine", step)
            delay(1_000)
            cluster.submit(one, "a", "urgent", urgentStep)
            delay(3_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            delay(30_000)
            expectThat(cluster.stateOf(one, "wide")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.runsOf("wide").size).isEqualTo(3_000)
        }

    // Guards against a job whose progress the store rejects and that holds up the progress of all others.
    @Test
    fun `should end a job whose progress the store rejects and go on`() =
        runTest {
            val cluster = SimulatedCluster(this) { _, _ -> Outcome(2_000) }
            cluster.rows.rejects = { it.key == Rows.progress("odd") && "started" in it.value }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            cluster.submit(one, "odd", "routine", urgentStep)
            cluster.submit(one, "a", "urgent", urgentStep)
            delay(5_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.stateOf(one, "odd")).isEqualTo(JobState.FAILED)
            expectThat(cluster.records.runsOf("odd")).isEmpty()
        }
}
