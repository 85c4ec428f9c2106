package org.orioleferry.daemon.jobs

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.core.model.JobState
import org.orioleferry.standins.CallFault
import org.orioleferry.standins.WorkerCallKind
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class JobLifeTest {
    // Guards against a gang that is accepted but never placed, renewed or recorded as done.
    @Test
    fun `an accepted gang should run whole on its workers and end done`() =
        runTest {
            val world = JobWorld(this)
            world.startOwner()
            val job = world.submit(world.gang(members = 3, accelerators = 8), workMs = 60_000)
            expectThat(world.row(job).state).isEqualTo(JobState.QUEUED)
            delay(2_000)
            expectThat(world.row(job).state).isEqualTo(JobState.RUNNING)
            delay(62_000)
            expectThat(world.row(job).state).isEqualTo(JobState.DONE)
            val executions = world.workers.flatMap { it.executions() }
            expectThat(executions).hasSize(3).all { get { outcome }.isEqualTo("done") }
            expectThat(executions.maxOf { it.startedMs } - executions.minOf { it.startedMs }).isLessThanOrEqualTo(100)
            expectThat(world.workers.flatMap { it.status().leases }).isEmpty()
            world.close()
        }

    // Guards against work that waits for a hint that was lost.
    @Test
    fun `a job should start within the inbox period when its hint is lost`() =
        runTest {
            val world = JobWorld(this)
            world.hintsArrive = false
            world.startOwner()
            delay(500)
            val job = world.submit(world.gang(members = 1, accelerators = 1), workMs = 60_000)
            delay(world.settings.inboxPeriodMs + 200)
            expectThat(world.row(job).state).isEqualTo(JobState.RUNNING)
            world.close()
        }

    // Guards against a takeover that looks at every long run as often as at a new one, 10 calls a task in 2 s.
    @Test
    fun `a takeover should look rarely at a run that is an hour old`() =
        runTest {
            val world = JobWorld(this)
            val first = world.startOwner()
            world.submit(world.gang(members = 4, accelerators = 8), workMs = 10_000_000)
            delay(3_600_000)
            first.kill()
            var renewals = 0
            world.callFault = { call ->
                if (call.kind == WorkerCallKind.RENEW) renewals++
                CallFault.NONE
            }
            world.startOwner()
            delay(2_000)
            expectThat(renewals).isLessThanOrEqualTo(MAX_RENEWALS)
            world.close()
        }

    private companion object {
        // One look at each of the four members at the takeover, and one more for a renewal that falls due.
        const val MAX_RENEWALS = 8
    }
}
