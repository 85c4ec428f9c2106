package org.orioleferry.daemon.jobs

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.coordination.ownership.OwnershipState
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.standins.CallFault
import org.orioleferry.standins.StoreFault
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.minutes

class TakeoverTest {
    private suspend fun TestScope.workload(world: JobWorld): List<JobRecord> =
        listOf(
            world.submit(world.gang(members = 3, accelerators = 8), workMs = 20_000, jobClass = onceClass),
            world.submit(world.gang(members = 1, accelerators = 4), workMs = 5_000),
            world.submit(world.gang(members = 8, accelerators = 2), workMs = 8_000),
        )

    /** Kills the owner at its [step]-th call to the store or a worker; [isLost] tells whether that call is lost too. */
    private fun faultsWhenKilledAt(
        step: Int,
        isLost: Boolean,
    ): List<String> {
        var faults = emptyList<String>()
        runTest(timeout = 5.minutes) {
            val world = JobWorld(this)
            val first = world.startOwner()
            val jobs = workload(world)
            world.service(jobs.last(), cancel = step % 7 == 0)
            var calls = 0
            val killed = { if (++calls == step) first.kill().let { true } else false }
            world.storeFault = { operations ->
                val isWrite = operations.isNotEmpty() && killed()
                if (isWrite && isLost) StoreFault.DOWN else StoreFault.NONE
            }
            world.callFault = { if (killed() && isLost) CallFault.FAIL else CallFault.NONE }
            delay(30_000)
            world.startOwner()
            delay(120_000)
            faults = JobChecker(world).faults(jobs)
            world.close()
        }
        return faults
    }

    // Guards against rows, leases or gangs that a crash between any two steps leaves behind.
    @Test
    fun `a second owner should finish every job wherever the first one was killed`() {
        val faults =
            (1..70).flatMap { step ->
                listOf(true, false).flatMap { isLost -> faultsWhenKilledAt(step, isLost).map { "step $step: $it" } }
            }
        expectThat(faults).isEmpty()
    }

    // Guards against a job that stays cancelled in its caller's eyes and runs all the same.
    @Test
    fun `a cancelled job should end cancelled whether it waits or runs`() =
        runTest {
            val world = JobWorld(this)
            world.startOwner()
            val running = world.submit(world.gang(4, 8), workMs = 600_000)
            delay(1_500)
            val waiting = world.submit(world.gang(4, 8), workMs = 600_000)
            delay(1_500)
            listOf(running, waiting).forEach {
                world.instances
                    .last()
                    .service
                    .cancel(it.jobId)
            }
            delay(3_000)
            val states = listOf(running, waiting).map { world.row(it).state }
            expectThat(states).isEqualTo(listOf(JobState.CANCELLED, JobState.CANCELLED))
            expectThat(JobChecker(world).faults(listOf(running, waiting))).isEmpty()
            world.close()
        }

    private suspend fun JobWorld.service(
        job: JobRecord,
        cancel: Boolean,
    ) {
        if (cancel) instances.last().service.cancel(job.jobId)
    }

    /** Two instances that both believe in their ownership; the second has the higher epoch. */
    private fun faultsWithTwoOwners(overlapMs: Long): List<String> {
        var faults = emptyList<String>()
        runTest(timeout = 5.minutes) {
            val world = JobWorld(this)
            // Calls take time, so that the two instances act between each other's steps.
            world.callFault = { delay(20).let { CallFault.NONE } }
            world.storeFault = { delay(15).let { StoreFault.NONE } }
            world.startOwner()
            val jobs = workload(world)
            delay(overlapMs)
            world.startOwner()
            val later = workload(world)
            delay(120_000)
            faults = JobChecker(world).faults(jobs + later)
            world.close()
        }
        return faults
    }

    // Guards against a former owner that goes on placing, renewing or writing.
    @Test
    fun `two owners that believe in themselves should not run a job twice`() {
        expectThat((0L..20L).flatMap { faultsWithTwoOwners(overlapMs = it * 20) }).isEmpty()
    }

    // Guards against an owner that starts gangs without a confirmed lease, or lets running ones lapse.
    @Test
    fun `an unconfirmed owner should renew and start nothing`() =
        runTest {
            val world = JobWorld(this)
            val owner = world.startOwner()
            val running = world.submit(world.gang(2, 8), workMs = 60_000)
            delay(1_500)
            val waiting = world.submit(world.gang(1, 1), workMs = 1_000)
            owner.ownership = owner.ownership.copy(state = OwnershipState.UNCONFIRMED)
            world.storeFault = { StoreFault.DOWN }
            delay(40_000)
            world.storeFault = { StoreFault.NONE }
            expectThat(world.row(running).state).isEqualTo(JobState.RUNNING)
            expectThat(world.row(waiting).state).isEqualTo(JobState.QUEUED)
            expectThat(world.workers.sumOf { it.status().leases.size }).isEqualTo(2)
            owner.ownership = owner.ownership.copy(state = OwnershipState.OWNER)
            delay(60_000)
            expectThat(JobChecker(world).faults(listOf(running, waiting))).isEmpty()
            world.close()
        }

    // Guards against a commit whose answer was lost being taken for one that failed, or the reverse.
    @Test
    fun `every job should end once although each answer of the store is lost in turn`() {
        val faults =
            (1..30).flatMap { lost ->
                var found = emptyList<String>()
                runTest(timeout = 5.minutes) {
                    val world = JobWorld(this)
                    var commits = 0
                    world.storeFault = {
                        if (it.isNotEmpty() && ++commits == lost) StoreFault.LOSE_ANSWER else StoreFault.NONE
                    }
                    world.startOwner()
                    val jobs = workload(world)
                    delay(90_000)
                    found = JobChecker(world).faults(jobs).map { "commit $lost: $it" }
                    world.close()
                }
                found
            }
        expectThat(faults).isEmpty()
    }
}
