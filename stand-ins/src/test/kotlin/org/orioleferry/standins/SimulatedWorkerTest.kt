package org.orioleferry.standins

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.core.ManualClock
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.WorkerId
import org.orioleferry.platform.ClaimResult
import org.orioleferry.platform.DispatchResult
import org.orioleferry.platform.Fence
import org.orioleferry.platform.LeaseResult
import org.orioleferry.platform.NotRunReason
import org.orioleferry.platform.SealResult
import org.orioleferry.platform.WorkerRequest
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

internal val specification = WorkerSpecification(WorkerId("w1"), DataCentre("solin"), "r1", slots = 1)

internal fun fence(epoch: Long): Fence = Fence(DataCentre("solin"), Epoch(epoch))

internal fun request(
    id: String,
    workMs: Long = 0,
): WorkerRequest = WorkerRequest(id, key = "k-$id", jobClass = "shed-credit", payload = "p-$id", workMs = workMs)

@OptIn(ExperimentalCoroutinesApi::class)
internal fun TestScope.virtualClock(): FunctionClock = FunctionClock { currentTime }

class SimulatedWorkerTest {
    private val job = JobId("solin.j1")
    private val clock = ManualClock()
    private var behaviour = WorkerBehaviour()
    private val worker = SimulatedWorker(specification, clock) { behaviour }

    private fun SimulatedWorker.reserve(
        id: String,
        accelerators: Int = 8,
        epoch: Long = 1,
    ): LeaseResult = reserve(fence(epoch), id, job, 1, accelerators, ttlMs = 1_000)

    private fun lease(result: LeaseResult) = (result as LeaseResult.Applied).lease

    // Guards against a former owner changing leases after its successor has claimed the worker.
    @Test
    fun `a command with a lower epoch should be refused`() {
        worker.reserve("l1", epoch = 1)
        expectThat(worker.claim(fence(2))).isA<ClaimResult.Claimed>()
        val stale = LeaseResult.StaleEpoch(Epoch(2))
        expectThat(worker.start(fence(1), "l1", 10)).isEqualTo(stale)
        expectThat(worker.renew(fence(1), "l1", 10)).isEqualTo(stale)
        expectThat(worker.stop(fence(1), "l1")).isEqualTo(stale)
        expectThat(worker.reserve("l2", epoch = 1)).isEqualTo(stale)
        expectThat(worker.claim(fence(1))).isEqualTo(ClaimResult.StaleEpoch(Epoch(2)))
        expectThat(lease(worker.renew(fence(2), "l1", 10)).state).isEqualTo("reserved")
    }

    // Guards against a partial gang that outlives its owner: a task ends when its lease lapses, not at the next call.
    @Test
    fun `a lapsed lease should stop its task at the time of the lapse`() {
        worker.reserve("l1")
        worker.start(fence(1), "l1", 5_000)
        clock.advance(700)
        worker.renew(fence(1), "l1", 1_000)
        clock.advance(9_000)
        expectThat(worker.renew(fence(1), "l1", 1_000)).isEqualTo(LeaseResult.Missing)
        val execution = worker.executions().single()
        expectThat(execution.outcome to execution.endedMs).isEqualTo("lapsed" to 1_700L)
    }

    // Guards against a finished task being taken for a lapsed one, which would run the job again.
    @Test
    fun `a task that ends before its lease should stay visible as done and free its accelerators`() {
        worker.reserve("l1")
        worker.start(fence(1), "l1", 900)
        clock.advance(60_000)
        val execution = worker.executions().single()
        expectThat(execution.outcome to execution.endedMs).isEqualTo("done" to 900L)
        expectThat(worker.status().leases.map { it.state to it.completedMs }).containsExactly("done" to 900L)
        expectThat(worker.reserve("l2")).isA<LeaseResult.Applied>()
    }

    // Guards against accelerators being granted twice, and against a repeated reservation taking them twice.
    @Test
    fun `a reservation should be refused when accelerators are lacking and repeat without effect`() {
        worker.reserve("l1", accelerators = 5)
        expectThat(worker.reserve("l1", accelerators = 5)).isA<LeaseResult.Applied>()
        expectThat(worker.reserve("l2", accelerators = 4)).isEqualTo(LeaseResult.Refused("insufficient"))
        expectThat(worker.reserve("l3", accelerators = 3)).isA<LeaseResult.Applied>()
    }

    // Guards against a late reservation bringing a stopped lease back.
    @Test
    fun `a stopped lease should not be reserved again`() {
        worker.reserve("l1")
        worker.stop(fence(1), "l1")
        expectThat(worker.reserve("l1")).isEqualTo(LeaseResult.Refused("stopped"))
    }

    // Guards against a checkpoint that counts progress at full speed while the task is throttled.
    @Test
    fun `a checkpoint should keep the progress made at the throttled speed`() {
        worker.reserve("l1")
        worker.start(fence(1), "l1", 500)
        clock.advance(100)
        worker.throttle(fence(1), "l1", 0.5)
        clock.advance(200)
        expectThat(lease(worker.checkpoint(fence(1), "l1")).completedMs).isEqualTo(200)
        clock.advance(600)
        expectThat(worker.executions().single().endedMs).isEqualTo(900)
    }

    // Guards against a checkpoint that is acknowledged being taken for one that was made.
    @Test
    fun `a worker that ignores checkpoints should keep no progress`() {
        worker.reserve("l1")
        worker.start(fence(1), "l1", 500)
        clock.advance(100)
        behaviour = WorkerBehaviour(ignoresCheckpoints = true)
        expectThat(lease(worker.checkpoint(fence(1), "l1")).completedMs).isEqualTo(0)
    }

    // Guards against new work on a worker that is leaving, and against leaving being hidden from callers.
    @Test
    fun `a leaving worker should refuse new work and say so in its status`() =
        runTest {
            worker.reserve("l1", accelerators = 4)
            behaviour = WorkerBehaviour(isLeaving = true)
            expectThat(worker.run(request("r1"))).isEqualTo(DispatchResult.NotRun(NotRunReason.LEAVING))
            expectThat(worker.reserve("l2", accelerators = 4)).isEqualTo(LeaseResult.Refused("leaving"))
            expectThat(worker.start(fence(1), "l1", 10)).isEqualTo(LeaseResult.Refused("leaving"))
            expectThat(worker.status().state).isEqualTo("leaving")
        }

    // Guards against a request that starts after "not run" was reported for it.
    @Test
    fun `a sealed request should never start`() =
        runTest {
            expectThat(worker.seal("r1")).isEqualTo(SealResult.NeverRun)
            expectThat(worker.run(request("r1"))).isEqualTo(DispatchResult.NotRun(NotRunReason.SEALED))
            expectThat(worker.executions()).isEmpty()
        }

    // Guards against a seal that reports a request which runs or ran as never run.
    @Test
    fun `a seal should report a request that runs and one that has ended`() =
        runTest {
            val worker = SimulatedWorker(specification, virtualClock())
            val answer = async { worker.run(request("r1", workMs = 100)) }
            delay(50)
            expectThat(worker.run(request("r2"))).isEqualTo(DispatchResult.NotRun(NotRunReason.BUSY))
            expectThat(worker.seal("r1")).isEqualTo(SealResult.Running)
            val result = (answer.await() as DispatchResult.Answered).answer.result
            expectThat(worker.seal("r1")).isEqualTo(SealResult.Done(result))
            expectThat(worker.run(request("r1"))).isA<DispatchResult.Answered>()
            expectThat(worker.executions()).hasSingleOutcome("done")
        }

    // Guards against work of a worker that fails everything being reported as not run.
    @Test
    fun `a worker that fails everything should record the failed executions`() =
        runTest {
            behaviour = WorkerBehaviour(failsAll = true)
            expectThat(worker.run(request("r1", workMs = 100))).isA<DispatchResult.Failed>()
            expectThat(worker.seal("r1")).isEqualTo(SealResult.Failed)
            worker.reserve("l1")
            expectThat(lease(worker.start(fence(1), "l1", 10)).state).isEqualTo("failed")
            expectThat(worker.executions().map { it.outcome }).containsExactly("failed", "failed")
        }
}

private fun strikt.api.Assertion.Builder<List<org.orioleferry.platform.Execution>>.hasSingleOutcome(outcome: String) =
    get { map { it.outcome } }.containsExactly(outcome)
