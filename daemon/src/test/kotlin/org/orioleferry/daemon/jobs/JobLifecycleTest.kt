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

class JobLifecycleTest {
    // Guards against a gang that is accepted but never placed, renewed or recorded as done.
    @Test
    fun `an accepted gang should run on all its workers and end done`() =
        runTest {
            val simulation = JobSimulation(this)
            simulation.startOwner()
            val job = simulation.submit(simulation.gang(members = 3, accelerators = 8), workMs = 60_000)
            expectThat(simulation.row(job).state).isEqualTo(JobState.QUEUED)
            delay(2_000)
            expectThat(simulation.row(job).state).isEqualTo(JobState.RUNNING)
            delay(62_000)
            expectThat(simulation.row(job).state).isEqualTo(JobState.DONE)
            val executions = simulation.workers.flatMap { it.executions() }
            expectThat(executions).hasSize(3).all { get { outcome }.isEqualTo("done") }
            expectThat(executions.maxOf { it.startedMs } - executions.minOf { it.startedMs }).isLessThanOrEqualTo(100)
            expectThat(simulation.workers.flatMap { it.status().leases }).isEmpty()
            simulation.close()
        }

    // Guards against a job that is never started because its hint was lost.
    @Test
    fun `a job should start within the inbox period when its hint is lost`() =
        runTest {
            val simulation = JobSimulation(this)
            simulation.isHintDelivered = false
            simulation.startOwner()
            delay(500)
            val job = simulation.submit(simulation.gang(members = 1, accelerators = 1), workMs = 60_000)
            delay(simulation.settings.inboxPeriodMs + 200)
            expectThat(simulation.row(job).state).isEqualTo(JobState.RUNNING)
            simulation.close()
        }

    // Guards against a takeover that polls long runs as often as new ones, which makes 10 calls for each task in 2 s.
    @Test
    fun `a takeover should rarely poll a run that is an hour old`() =
        runTest {
            val simulation = JobSimulation(this)
            val first = simulation.startOwner()
            simulation.submit(simulation.gang(members = 4, accelerators = 8), workMs = 10_000_000)
            delay(3_600_000)
            first.kill()
            var renewals = 0
            simulation.callFault = { call ->
                if (call.kind == WorkerCallKind.RENEW) renewals++
                CallFault.NONE
            }
            simulation.startOwner()
            delay(2_000)
            expectThat(renewals).isLessThanOrEqualTo(MAX_RENEWALS)
            simulation.close()
        }

    private companion object {
        // One poll of each of the four members at the takeover, and one more for a renewal that is due.
        const val MAX_RENEWALS = 8
    }
}
