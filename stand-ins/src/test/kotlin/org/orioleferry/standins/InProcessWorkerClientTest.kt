package org.orioleferry.standins

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.core.model.JobId
import org.orioleferry.platform.DispatchResult
import org.orioleferry.platform.LeaseResult
import org.orioleferry.platform.NotRunReason
import org.orioleferry.platform.SealResult
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class InProcessWorkerClientTest {
    // Guards against "not run" being reported when only the answer is missing.
    @Test
    fun `a lost, crossed or truncated answer should be unknown although the request ran`() =
        runTest {
            val worker = SimulatedWorker(specification, virtualClock())
            listOf(AnswerFault.LOSE, AnswerFault.CROSS, AnswerFault.TRUNCATE).forEach { fault ->
                val client = InProcessWorkerClient(worker, afterEffect = { fault })
                expectThat(client.dispatch(request("r-$fault"), 100)).isA<DispatchResult.Unknown>()
            }
            expectThat(worker.executions()).hasSize(3)
        }

    // Guards against a lost call being taken for one that had an effect, and the reverse.
    @Test
    fun `a fault before the effect should leave the worker untouched`() =
        runTest {
            val worker = SimulatedWorker(specification, virtualClock())
            val refusing = InProcessWorkerClient(worker, beforeEffect = { CallFault.REFUSE })
            val failing = InProcessWorkerClient(worker, beforeEffect = { CallFault.FAIL })
            val unreachable = DispatchResult.NotRun(NotRunReason.UNREACHABLE)
            expectThat(refusing.dispatch(request("r1"), 100)).isEqualTo(unreachable)
            expectThat(failing.dispatch(request("r1"), 100)).isA<DispatchResult.Unknown>()
            val reserved = failing.reserve(fence(1), "l1", JobId("solin.j1"), 1, 8, 1_000)
            expectThat(reserved).isA<LeaseResult.Unavailable>()
            expectThat(worker.executions()).isEmpty()
            expectThat(worker.status().leases).isEmpty()
        }

    // Guards against a call without a deadline.
    @Test
    fun `calls to a silent worker should end at their deadline`() =
        runTest {
            val worker = SimulatedWorker(specification, virtualClock())
            val client = InProcessWorkerClient(worker, afterEffect = { awaitCancellation() })
            expectThat(client.dispatch(request("r1"), 100)).isA<DispatchResult.Unknown>()
            expectThat(client.seal("r1")).isA<SealResult.Unavailable>()
            expectThat(client.stop(fence(1), "l1")).isA<LeaseResult.Unavailable>()
        }

    // Guards against a request that arrives late and runs after its seal.
    @Test
    fun `a delayed request should reach the worker late and be refused after its seal`() =
        runTest {
            val worker = SimulatedWorker(specification, virtualClock())
            val delayHook: CallFaultHook = { call ->
                if (call.kind == WorkerCallKind.DISPATCH) delay(500)
                CallFault.NONE
            }
            val client = InProcessWorkerClient(worker, backgroundScope, beforeEffect = delayHook)
            expectThat(client.dispatch(request("r1"), 100)).isA<DispatchResult.Unknown>()
            client.dispatch(request("r2"), 100)
            expectThat(client.seal("r1")).isEqualTo(SealResult.NeverRun)
            delay(1_000)
            expectThat(worker.executions().map { it.id }).isEqualTo(listOf("r2"))
        }
}
