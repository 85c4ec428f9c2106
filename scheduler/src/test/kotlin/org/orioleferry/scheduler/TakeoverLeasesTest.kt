package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.owner.LeaseValue
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.simulation.SimulatedWorker
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.RowWrite
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.workers.RenewalResult
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** What a new owner waits for before it starts the tasks of workers that it cannot reach. */
class TakeoverLeasesTest {
    // Guards against lasting tasks without a run for up to 20 s when the owner, or every instance, is killed in the seconds
    // after their worker was lost: each new owner waited 12 s from its election on for leases that had long ended.
    @Test
    fun `should run lasting tasks elsewhere in time when their worker is lost and then owners are killed`() {
        for (isEveryInstanceKilled in listOf(false, true)) {
            for (killedAfterMs in listOf(0L, 1_000L, 3_000L, 5_000L)) {
                for (phaseMs in 0L..2_700L step 450) {
                    runTest { loseWorkerAndOwner(isEveryInstanceKilled, killedAfterMs, phaseMs) }
                }
            }
        }
    }

    private suspend fun TestScope.loseWorkerAndOwner(
        isEveryInstanceKilled: Boolean,
        killedAfterMs: Long,
        phaseMs: Long,
    ) {
        val (cluster, instances) = startLastingJob(phaseMs)
        val lostAtMs = cluster.clock.monotonicMs()
        cluster.busyWorker().losePower()
        delay(killedAfterMs)
        val killed = instances.filter { isEveryInstanceKilled || it.isOwner }
        killed.forEach { it.kill() }
        delay(DOWN_MS)
        killed.forEach { it.start() }
        delay(20_000)
        val restarts = cluster.records.runs.filter { it.beganMs >= lostAtMs }
        expectThat(restarts).hasSize(WIDTH)
        val limitMs = maxOf(LIMIT_MS, killedAfterMs + DOWN_MS + CALM_LIMIT_MS)
        expectThat(restarts.maxOf { it.beganMs } - lostAtMs).isLessThan(limitMs)
        expectThat(cluster.records.violations).isEmpty()
    }

    // Guards against a second run of a task that goes on at a worker which only the former owner reaches: without the store
    // it extends the leases for a while, and the worker's clock is slow.
    @Test
    fun `should not run a task twice whose worker only the former owner reaches`() {
        for (clockRate in listOf(1.0, 0.98)) {
            for (phaseMs in 0L..2_700L step 300) {
                runTest {
                    val (cluster, instances) = startLastingJob(phaseMs, clockRate)
                    val worker = cluster.busyWorker()
                    val former = instances.single { it.isOwner }
                    (instances - former).forEach { it.link.unreachableWorkers += worker.id }
                    former.store.isUnavailable = true
                    former.link.unreachableWorkers += cluster.workers.keys - worker.id
                    delay(20_000)
                    expectThat(cluster.records.violations).isEmpty()
                    expectThat(cluster.records.runs).hasSize(2 * WIDTH)
                }
            }
        }
    }

    // Guards against tasks that are done and run again after a long absence of all instances: their leases had ended when the
    // next owner began, and it did not wait for the answers of their workers (KNOWN-RED 33).
    @Test
    fun `should ask the workers before tasks start again whose leases ended before the takeover`() {
        for (answerMs in 0L..600L step 100) {
            runTest {
                val cluster = SimulatedCluster(this) { _, _ -> Outcome(2_000) }
                val instance = cluster.Instance("one").also { it.start() }
                delay(1_500)
                cluster.submit(instance, "a", "routine", StepSpec(WIDTH, SimulatedCluster.ONE_ACCELERATOR, 2_000))
                delay(1_000)
                instance.kill()
                delay(LONG_ABSENCE_MS)
                instance.link.answerDelayMs =
                    { if ((it as? RenewalResult.Renewed)?.ends.isNullOrEmpty()) 0 else answerMs }
                instance.start()
                delay(5_000)
                expectThat(cluster.stateOf(instance, "a")).isEqualTo(JobState.COMPLETED)
                expectThat(cluster.records.runs).describedAs("answers take $answerMs ms").hasSize(WIDTH)
            }
        }
    }

    // Guards against tasks that wait for the answer of a worker that gives none.
    @Test
    fun `should start tasks elsewhere soon after the takeover when their worker was lost in a long absence`() =
        runTest {
            val (cluster, instances) = startLastingJob(phaseMs = 0)
            val lost = cluster.busyWorker()
            instances.forEach { it.kill() }
            delay(LONG_ABSENCE_MS)
            lost.losePower()
            val beganMs = cluster.clock.monotonicMs()
            instances.forEach { it.start() }
            delay(10_000)
            val restarts = cluster.records.runs.filter { it.beganMs >= beganMs }
            expectThat(restarts).hasSize(WIDTH)
            // The election of the instance that held the ownership, the reading of the rows, and the limit of one call.
            expectThat(restarts.maxOf { it.beganMs } - beganMs).isLessThan(1_000L)
        }

    // Guards against a second run during an upgrade: an owner of an earlier version extends leases up to 7 s after its last
    // renewal, and its lease row does not say when they end.
    @Test
    fun `should wait for all leases that an owner of an earlier version can have granted`() {
        runTest {
            val (cluster, instances) = startLastingJob(phaseMs = 0)
            val worker = cluster.busyWorker()
            instances.forEach { it.kill() }
            val row =
                cluster.rows
                    .changes(Rows.OWNER, 0)
                    .orEmpty()
                    .last { it.key == Rows.lease }
            val lease = Rows.json.decodeFromString(LeaseValue.serializer(), row.value)
            val earlier = lease.copy(runLeasesEndMs = null, boundsRunLeases = false)
            val write = RowWrite(Rows.lease, Rows.json.encodeToString(LeaseValue.serializer(), earlier))
            cluster.rows.apply(RowTransaction(writes = listOf(write)))
            val renewedAtMs = cluster.clock.monotonicMs()
            instances.forEach { it.link.unreachableWorkers += worker.id }
            instances.last().start()
            delay(2_500)
            // The next owner is killed before it has waited, and the one after it waits for the rest.
            instances.last().kill()
            instances.first().start()
            delay(25_000)
            val restarts = cluster.records.runs.filter { it.beganMs >= renewedAtMs }
            expectThat(restarts).hasSize(WIDTH)
            expectThat(restarts.minOf { it.beganMs } - renewedAtMs).isGreaterThan(EARLIER_VERSION_LEASES_MS)
        }
    }

    // Guards against a limit on the leases that costs all running work in an outage of the store as long as the deployments
    // have.
    @Test
    fun `should keep all runs through an outage of the store of 7 s`() {
        for (phaseMs in 0L..2_700L step 300) {
            runTest {
                val (cluster, instances) = startLastingJob(phaseMs)
                instances.forEach { it.store.isUnavailable = true }
                delay(7_000)
                instances.forEach { it.store.isUnavailable = false }
                delay(15_000)
                expectThat(cluster.records.runs.map { it.ending }).isEqualTo(List(WIDTH) { null })
            }
        }
    }

    private suspend fun TestScope.startLastingJob(
        phaseMs: Long,
        clockRate: Double = 1.0,
    ): Pair<SimulatedCluster, List<SimulatedCluster.Instance>> {
        val cluster = SimulatedCluster(this) { _, _ -> Outcome(LONG_MS) }
        cluster.workers.values.forEach { it.clockRate = clockRate }
        val instances = listOf("one", "two", "three").map { cluster.Instance(it) }
        instances.forEach { it.start() }
        delay(1_500)
        val step = StepSpec(WIDTH, SimulatedCluster.ONE_ACCELERATOR, 60_000, isLasting = true)
        cluster.submit(instances.first(), "serve", "routine", step)
        delay(6_000 + phaseMs)
        return cluster to instances
    }

    private fun SimulatedCluster.busyWorker(): SimulatedWorker = workers.getValue(records.runs.first().worker)

    private companion object {
        const val WIDTH = 4
        const val LONG_MS = 10_000_000L

        // Rule of the platform: from 6 s after its last run a lasting task may have none for 3 s, and at most 7 s once all
        // machines are up again.
        const val LIMIT_MS = 9_000L
        const val CALM_LIMIT_MS = 7_000L
        const val DOWN_MS = 2_000L

        // Longer than all leases of an earlier owner.
        const val LONG_ABSENCE_MS = 12_000L

        // 7 s after its last renewal an owner of an earlier version grants 6 s on a worker's clock that may be 2% slow.
        const val EARLIER_VERSION_LEASES_MS = 13_122L
    }
}
