package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.callers.SubmitResult
import org.orioleferry.scheduler.model.JobSchedule
import org.orioleferry.scheduler.model.JobSpec
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.Resources
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.simulation.VirtualClock
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.store.ScanResult
import org.orioleferry.scheduler.store.read
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.none

/**
 * Refusal at submission on a cluster of 32 accelerators. A flood of 1,600 tasks of 4 s takes it 200 s; its jobs, and others
 * of the queue like them, are worth nothing after 45 s.
 */
class RefusalByLoadTest {
    private val task = StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, TASK_MS)

    private fun TestScope.cluster(shortage: ShortageSettings? = ShortageSettings(250, 2_600)) =
        SimulatedCluster(
            this,
        ) { task, _ -> Outcome(if (task.job.startsWith("lasting")) Long.MAX_VALUE / 4 else TASK_MS) }
            .also { it.shortage = shortage }

    private suspend fun SimulatedCluster.flood(instance: SimulatedCluster.Instance) {
        repeat(FLOOD_JOBS) { submit(instance, "flood-$it", "routine", task.copy(count = 200)) }
    }

    private suspend fun cancelFlood(instance: SimulatedCluster.Instance) {
        repeat(FLOOD_JOBS) { instance.jobApi.cancel("flood-$it", "team", 2_000) }
    }

    // Guards against jobs that are accepted and held although they cannot end in time, against a refusal that stores the job or
    // lets it run later, and against the refusal of a job that was accepted before.
    @Test
    fun `should refuse what cannot be served at every instance and neither store nor run it`() =
        runTest {
            val cluster = cluster()
            val instances = listOf("one", "two", "three").map { cluster.Instance(it).also { one -> one.start() } }
            delay(1_000)
            cluster.flood(instances[0])
            delay(3_000)
            instances.forEach { instance ->
                val sentAtMs = cluster.clock.monotonicMs()
                expectThat(cluster.submit(instance, "late-${instance.name}", "routine", task))
                    .isA<SubmitResult.NoCapacity>()
                expectThat(cluster.clock.monotonicMs() - sentAtMs).isLessThan(50)
                expectThat(cluster.submit(instance, "flood-1", "routine", task.copy(count = 200)))
                    .isEqualTo(SubmitResult.Accepted(true))
                val row = instance.store.read(Rows.job("late-${instance.name}")) as ScanResult.Rows
                expectThat(row.rows).hasSize(0)
            }
            expectThat(cluster.events).contains(SchedulerEvent.JOB_REFUSED)
            cancelFlood(instances[1])
            delay(10_000)
            expectThat(cluster.records.runs).none { get { run.task.job.startsWith("late") }.isEqualTo(true) }
            instances.forEach { instance ->
                expectThat(cluster.submit(instance, "late-${instance.name}", "routine", task))
                    .isEqualTo(SubmitResult.Accepted(false))
            }
            delay(8_000)
            expectThat(instances.map { cluster.stateOf(it, "late-${it.name}") }).all { isEqualTo(JobState.COMPLETED) }
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against the refusal of urgent, lasting and scheduled jobs, of jobs that may wait for as long as the flood takes, and
    // of any job at an instance that hears nothing of an owner.
    @Test
    fun `should accept urgent, lasting, scheduled and patient jobs during a flood`() =
        runTest {
            val cluster = cluster()
            val one = cluster.Instance("one").also { it.start() }
            val two = cluster.Instance("two").also { it.start() }
            delay(1_000)
            cluster.flood(one)
            delay(3_000)
            val policy = cluster.manifest.queue("routine")?.policy
            val scheduled =
                JobSpec("scheduled", "routine", "pool", "team", "", listOf(task), policy = policy)
                    .copy(schedule = JobSchedule(VirtualClock.EPOCH_MS + 9_000, 1_000, 2))
            expectThat(two.jobApi.submit(scheduled, 2_000)).isEqualTo(SubmitResult.Accepted(false))
            expectThat(cluster.submit(two, "urgent", "urgent", task)).isEqualTo(SubmitResult.Accepted(false))
            expectThat(cluster.submit(two, "lasting", "routine", task.copy(isLasting = true)))
                .isEqualTo(SubmitResult.Accepted(false))
            expectThat(cluster.submit(two, "patient", "routine", task.copy(estimateMs = 40_000)))
                .isEqualTo(SubmitResult.Accepted(false))
            val deaf = cluster.Instance("deaf")
            expectThat(cluster.submit(deaf, "unheard", "routine", task)).isEqualTo(SubmitResult.Accepted(false))
            delay(5_000)
            expectThat(cluster.stateOf(two, "urgent")).isEqualTo(JobState.COMPLETED)
        }

    // Guards against any change where the figures of the deployment are missing.
    @Test
    fun `should refuse nothing and write no forecast without the figures for a shortage`() =
        runTest {
            val cluster = cluster(shortage = null)
            val one = cluster.Instance("one").also { it.start() }
            delay(1_000)
            cluster.flood(one)
            delay(3_000)
            expectThat(cluster.submit(one, "late", "routine", task)).isEqualTo(SubmitResult.Accepted(false))
            val row = (one.store.read(Rows.lease) as ScanResult.Rows).rows.single()
            expectThat("forecast" in row.value).isEqualTo(false)
            expectThat(one.election.forecast()).isNull()
        }

    // Guards against a forecast that misses the capacity that lasting runs hold, or counts occurrences that are not due: 24 of
    // 32 accelerators are held, 64 tasks of 4 s wait, and 40 occurrences of 200 tasks are due in an hour.
    @Test
    fun `should count lasting runs as missing capacity and occurrences that are not due as no work`() =
        runTest {
            val cluster = cluster()
            val one = cluster.Instance("one").also { it.start() }
            delay(1_000)
            val schedule = JobSchedule(VirtualClock.EPOCH_MS + 3_600_000, 1_000, 40)
            val job = JobSpec("later", "routine", "pool", "team", "", listOf(task.copy(count = 200)), schedule)
            expectThat(one.jobApi.submit(job, 2_000)).isEqualTo(SubmitResult.Accepted(false))
            cluster.submit(one, "lasting", "routine", task.copy(count = 24, isLasting = true))
            delay(2_000)
            expectThat(one.election.forecast()).isNull()
            cluster.submit(one, "batch", "routine", task.copy(count = 64))
            delay(500)
            expectThat(
                one.election
                    .forecast()
                    ?.waitOf("pool", 2)
                    ?.acceleratorMs,
            ).isNotNull()
                .isIn(29_000L..32_000L)
        }

    // Guards against a new owner that refuses work since it has not claimed all workers yet: 10 tasks of 4 s each 4 s, and three of
    // four workers that the new owner cannot reach for its first seconds.
    @Test
    fun `should forecast no wait during the takeover of a cluster with enough workers`() =
        runTest {
            val cluster = cluster()
            val one = cluster.Instance("one").also { it.start() }
            val two = cluster.Instance("two").also { it.start() }
            delay(1_000)
            val owner = if (one.isOwner) one else two
            val next = if (one.isOwner) two else one
            repeat(20) { at ->
                cluster.submit(next, "job-$at", "routine", task.copy(count = 10))
                if (at == 5) {
                    owner.kill()
                    next.link.unreachableWorkers += listOf("w1", "w2", "w3")
                }
                if (at == 8) next.link.unreachableWorkers.clear()
                repeat(4) {
                    delay(1_000)
                    expectThat(next.election.forecast()).isNull()
                }
            }
            expectThat(next.isOwner).isEqualTo(true)
        }

    // Guards against work that can never be placed: that it is refused, although capacity may change, or that the other jobs of
    // an idle service are refused because of it. Hours of work that needs 9 of a worker's 8 accelerators, or an unknown label.
    @Test
    fun `should accept jobs that fit no worker and jobs beside them`() =
        runTest {
            val cluster = cluster()
            val one = cluster.Instance("one").also { it.start() }
            delay(10_000)
            val wide = task.copy(count = 400, need = Resources(1_000, 1_000, 9), estimateMs = 60_000)
            val unknown = task.copy(count = 400, label = "unknown", estimateMs = 60_000)
            listOf("wide" to wide, "unknown" to unknown).forEach { (id, step) ->
                expectThat(cluster.submit(one, id, "routine", step)).isEqualTo(SubmitResult.Accepted(false))
                delay(3_000)
                expectThat(cluster.submit(one, "$id-again", "routine", step)).isEqualTo(SubmitResult.Accepted(false))
                expectThat(cluster.submit(one, "beside-$id", "routine", task)).isEqualTo(SubmitResult.Accepted(false))
            }
            delay(8_000)
            expectThat(one.election.forecast()).isNull()
        }

    // Guards against a forecast that the next owner does not continue: the flood outlasts a change of owner.
    @Test
    fun `should go on refusing under the next owner while the flood lasts`() =
        runTest {
            val cluster = cluster()
            val one = cluster.Instance("one").also { it.start() }
            val two = cluster.Instance("two").also { it.start() }
            delay(1_000)
            cluster.flood(one)
            delay(3_000)
            val (owner, next) = if (one.isOwner) one to two else two to one
            owner.kill()
            delay(6_000)
            expectThat(next.election.forecast()).isNotNull()
            expectThat(cluster.submit(next, "late", "routine", task)).isA<SubmitResult.NoCapacity>()
        }

    private companion object {
        const val TASK_MS = 4_000L
        const val FLOOD_JOBS = 8
    }
}
