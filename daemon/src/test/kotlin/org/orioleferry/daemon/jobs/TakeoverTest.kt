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
    private suspend fun TestScope.submitWorkload(simulation: JobSimulation): List<JobRecord> =
        listOf(
            simulation.submit(simulation.gang(members = 3, accelerators = 8), workMs = 20_000, jobClass = onceClass),
            simulation.submit(simulation.gang(members = 1, accelerators = 4), workMs = 5_000),
            simulation.submit(simulation.gang(members = 8, accelerators = 2), workMs = 8_000),
        )

    /** Kills the owner at its [step]-th store write or worker call; [isLost] makes that call fail too. */
    private fun violationsWhenKilledAt(
        step: Int,
        isLost: Boolean,
    ): List<String> {
        var violations = emptyList<String>()
        runTest(timeout = 5.minutes) {
            val simulation = JobSimulation(this)
            val first = simulation.startOwner()
            val jobs = submitWorkload(simulation)
            simulation.cancelIf(jobs.last(), isCancelled = step % 7 == 0)
            var calls = 0
            val killAtStep = { if (++calls == step) first.kill().let { true } else false }
            simulation.storeFault = { operations ->
                val isWrite = operations.isNotEmpty() && killAtStep()
                if (isWrite && isLost) StoreFault.DOWN else StoreFault.NONE
            }
            simulation.callFault = { if (killAtStep() && isLost) CallFault.FAIL else CallFault.NONE }
            delay(30_000)
            simulation.startOwner()
            delay(120_000)
            violations = JobChecker(simulation).findViolations(jobs)
            simulation.close()
        }
        return violations
    }

    // Guards against rows, leases or gangs that remain after a crash between any two steps.
    @Test
    fun `a second owner should finish every job wherever the first one was killed`() {
        val violations =
            (1..70).flatMap { step ->
                listOf(true, false).flatMap { isLost -> violationsWhenKilledAt(step, isLost).map { "step $step: $it" } }
            }
        expectThat(violations).isEmpty()
    }

    // Guards against a job that runs although the caller was told that it is cancelled.
    @Test
    fun `a cancelled job should end cancelled whether it waits or runs`() =
        runTest {
            val simulation = JobSimulation(this)
            simulation.startOwner()
            val running = simulation.submit(simulation.gang(4, 8), workMs = 600_000)
            delay(1_500)
            val waiting = simulation.submit(simulation.gang(4, 8), workMs = 600_000)
            delay(1_500)
            listOf(running, waiting).forEach {
                simulation.instances
                    .last()
                    .service
                    .cancel(it.jobId)
            }
            delay(3_000)
            val states = listOf(running, waiting).map { simulation.row(it).state }
            expectThat(states).isEqualTo(listOf(JobState.CANCELLED, JobState.CANCELLED))
            expectThat(JobChecker(simulation).findViolations(listOf(running, waiting))).isEmpty()
            simulation.close()
        }

    private suspend fun JobSimulation.cancelIf(
        job: JobRecord,
        isCancelled: Boolean,
    ) {
        if (isCancelled) instances.last().service.cancel(job.jobId)
    }

    /** Runs two instances that both act as owner; the second has the higher epoch. */
    private fun violationsWithTwoOwners(overlapMs: Long): List<String> {
        var violations = emptyList<String>()
        runTest(timeout = 5.minutes) {
            val simulation = JobSimulation(this)
            // Calls take time, so that the steps of the two instances interleave.
            simulation.callFault = { delay(20).let { CallFault.NONE } }
            simulation.storeFault = { delay(15).let { StoreFault.NONE } }
            simulation.startOwner()
            val jobs = submitWorkload(simulation)
            delay(overlapMs)
            simulation.startOwner()
            val later = submitWorkload(simulation)
            delay(120_000)
            violations = JobChecker(simulation).findViolations(jobs + later)
            simulation.close()
        }
        return violations
    }

    // Guards against a former owner that continues to place jobs, renew leases or write rows.
    @Test
    fun `two instances that both act as owner should not run a job twice`() {
        expectThat((0L..20L).flatMap { violationsWithTwoOwners(overlapMs = it * 20) }).isEmpty()
    }

    // Guards against an owner that starts gangs without confirmed ownership, or lets leases of running gangs expire.
    @Test
    fun `an unconfirmed owner should renew and start nothing`() =
        runTest {
            val simulation = JobSimulation(this)
            val owner = simulation.startOwner()
            val running = simulation.submit(simulation.gang(2, 8), workMs = 60_000)
            delay(1_500)
            val waiting = simulation.submit(simulation.gang(1, 1), workMs = 1_000)
            owner.ownership = owner.ownership.copy(state = OwnershipState.UNCONFIRMED)
            simulation.storeFault = { StoreFault.DOWN }
            delay(40_000)
            simulation.storeFault = { StoreFault.NONE }
            expectThat(simulation.row(running).state).isEqualTo(JobState.RUNNING)
            expectThat(simulation.row(waiting).state).isEqualTo(JobState.QUEUED)
            expectThat(simulation.workers.sumOf { it.status().leases.size }).isEqualTo(2)
            owner.ownership = owner.ownership.copy(state = OwnershipState.OWNER)
            delay(60_000)
            expectThat(JobChecker(simulation).findViolations(listOf(running, waiting))).isEmpty()
            simulation.close()
        }

    // Guards against a commit whose answer was lost being taken for one that failed, or the reverse.
    @Test
    fun `every job should end once although each answer of the store is lost in turn`() {
        val violations =
            (1..30).flatMap { lost ->
                var found = emptyList<String>()
                runTest(timeout = 5.minutes) {
                    val simulation = JobSimulation(this)
                    var commits = 0
                    simulation.storeFault = {
                        if (it.isNotEmpty() && ++commits == lost) StoreFault.LOSE_ANSWER else StoreFault.NONE
                    }
                    simulation.startOwner()
                    val jobs = submitWorkload(simulation)
                    delay(90_000)
                    found = JobChecker(simulation).findViolations(jobs).map { "commit $lost: $it" }
                    simulation.close()
                }
                found
            }
        expectThat(violations).isEmpty()
    }
}
