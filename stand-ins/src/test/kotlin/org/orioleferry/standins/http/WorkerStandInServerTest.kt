package org.orioleferry.standins.http

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.orioleferry.core.ManualClock
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.WorkerId
import org.orioleferry.platform.ClaimResult
import org.orioleferry.platform.DispatchResult
import org.orioleferry.platform.FaultBody
import org.orioleferry.platform.Fence
import org.orioleferry.platform.LeaseResult
import org.orioleferry.platform.NotRunReason
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.SealResult
import org.orioleferry.platform.WorkerAnswer
import org.orioleferry.platform.WorkerRequest
import org.orioleferry.platform.http.HttpTransport
import org.orioleferry.platform.http.HttpWorkerClient
import org.orioleferry.standins.FaultName
import org.orioleferry.standins.WorkerFleet
import org.orioleferry.standins.resultOf
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class WorkerStandInServerTest {
    private val solin = DataCentre("solin")
    private val clock = ManualClock()
    private val platform = PlatformStandInServer(clock = clock, listLagMs = 2_000)
    private val transport = HttpTransport()
    private lateinit var server: WorkerStandInServer
    private lateinit var client: HttpWorkerClient

    @BeforeEach
    fun start() =
        runBlocking<Unit> {
            platform.start()
            server = WorkerStandInServer(WorkerFleet(listOf(solin), workers = 2), platform.baseUrl, clock = clock)
            server.start()
            client = HttpWorkerClient(server.baseUrlOf(W1), LONG_MS, transport)
        }

    @AfterEach
    fun stop() =
        runBlocking<Unit> {
            transport.close()
            server.stop()
            platform.stop()
        }

    private fun request(id: String) = WorkerRequest(id, "k-$id", "shed-credit", payload = "p-$id")

    private suspend fun fault(
        name: String,
        durationMs: Long? = null,
    ) = server.setFault(W1, FaultBody(name, durationMs = durationMs))

    private suspend fun dispatch(
        id: String,
        deadlineMs: Long = LONG_MS,
    ): DispatchResult = client.dispatch(request(id), deadlineMs)

    // Guards against a difference between the wire form of the client and that of the worker.
    @Test
    fun `every command should keep its outcome over the wire`() =
        runBlocking<Unit> {
            val first = Fence(solin, Epoch(1))
            val second = Fence(solin, Epoch(2))
            val job = JobId("solin.j1")
            expectThat(client.claim(first)).isA<ClaimResult.Claimed>()
            expectThat(client.reserve(first, "l/1", job, 1, 8, 9_000)).isA<LeaseResult.Applied>()
            expectThat(client.reserve(first, "l2", job, 1, 1, 9_000)).isEqualTo(LeaseResult.Refused("insufficient"))
            expectThat(client.start(first, "l/1", 60_000)).isA<LeaseResult.Applied>()
            clock.advance(100)
            val kept = client.checkpoint(first, "l/1") as LeaseResult.Applied
            expectThat(kept.lease.completedMs).isEqualTo(100)
            expectThat(client.claim(second)).isA<ClaimResult.Claimed>()
            expectThat(client.renew(first, "l/1", 9_000)).isEqualTo(LeaseResult.StaleEpoch(Epoch(2)))
            expectThat(client.claim(first)).isEqualTo(ClaimResult.StaleEpoch(Epoch(2)))
            expectThat((client.stop(second, "l/1") as LeaseResult.Applied).lease.state).isEqualTo("stopped")
            expectThat(client.stop(second, "l/1")).isEqualTo(LeaseResult.Missing)
            val status = (client.status() as ReadResult.Found).value
            expectThat(status.epoch).isEqualTo(Epoch(2))
        }

    // Guards against a request, its refusal or its seal losing their outcome on the wire.
    @Test
    fun `requests and seals should keep their outcome over the wire`() =
        runBlocking<Unit> {
            val result = resultOf(request("r1"))
            expectThat(dispatch("r1")).isEqualTo(DispatchResult.Answered(WorkerAnswer("r1", result)))
            expectThat(client.seal("r1")).isEqualTo(SealResult.Done(result))
            expectThat(client.seal("r2")).isEqualTo(SealResult.NeverRun)
            expectThat(dispatch("r2")).isEqualTo(DispatchResult.NotRun(NotRunReason.SEALED))
            fault(FaultName.REFUSE)
            expectThat(dispatch("r3")).isEqualTo(DispatchResult.NotRun(NotRunReason.BUSY))
            fault(FaultName.NONE)
            fault(FaultName.FAIL_ALL)
            expectThat(dispatch("r4")).isA<DispatchResult.Failed>()
            expectThat(client.seal("r4")).isEqualTo(SealResult.Failed)
        }

    // Guards against answers that are lost, cut or swapped after the effect being taken for anything but unknown.
    @Test
    fun `lost, truncated and crossed answers should be unknown and the request should have run`() =
        runBlocking<Unit> {
            dispatch("r0")
            fault(FaultName.TRUNCATE)
            expectThat(dispatch("r1")).isA<DispatchResult.Unknown>()
            fault(FaultName.NONE)
            fault(FaultName.CROSSED_ANSWERS)
            expectThat(dispatch("r2")).isA<DispatchResult.Unknown>()
            fault(FaultName.NONE)
            fault(FaultName.LOSE_ANSWERS)
            expectThat(dispatch("r3", SHORT_MS)).isA<DispatchResult.Unknown>()
            fault(FaultName.NONE)
            expectThat(client.seal("r3")).isA<SealResult.Done>()
            expectThat(server.workers.first().executions()).hasSize(4)
        }

    // Guards against callers that conclude from a missing answer that a request will not run any more.
    @Test
    fun `a request that waits in a frozen worker should run after the freeze`() =
        runBlocking<Unit> {
            fault(FaultName.FREEZE, durationMs = 1_000)
            expectThat(dispatch("r1", SHORT_MS)).isA<DispatchResult.Unknown>()
            expectThat(server.workers.first().executions()).isEmpty()
            clock.advance(1_000)
            withTimeout(LONG_MS) {
                while (server.workers
                        .first()
                        .executions()
                        .isEmpty()
                ) {
                    delay(1)
                }
            }
            expectThat(client.seal("r1")).isA<SealResult.Done>()
        }

    // Guards against a silent connection making the worker unreachable for good.
    @Test
    fun `established connections should go silent while new ones work`() =
        runBlocking<Unit> {
            val held = async { client.dispatch(request("r1").copy(workMs = SHORT_MS), 4 * SHORT_MS) }
            withTimeout(LONG_MS) {
                while (server.workers
                        .first()
                        .executions()
                        .isEmpty()
                ) {
                    delay(1)
                }
            }
            fault(FaultName.SILENT_CONNECTIONS)
            expectThat(dispatch("r2")).isA<DispatchResult.Answered>()
            expectThat(held.await()).isA<DispatchResult.Unknown>()
            expectThat(client.seal("r1")).isA<SealResult.Done>()
        }

    // Guards against leaving being visible only in the lagging list.
    @Test
    fun `leaving should show in refusals and status at once and in the list after its lag`() =
        runBlocking<Unit> {
            clock.advance(2_000)
            fault(FaultName.LEAVE)
            expectThat(dispatch("r1")).isEqualTo(DispatchResult.NotRun(NotRunReason.LEAVING))
            expectThat((client.status() as ReadResult.Found).value.state).isEqualTo("leaving")
            expectThat(platform.instances.snapshot().map { it.state }).containsExactly("live", "live")
            clock.advance(2_000)
            expectThat(platform.instances.snapshot().map { it.state }).containsExactly("leaving", "live")
        }

    // Guards against a fault of one worker reaching another worker of the same process.
    @Test
    fun `a fault should affect one worker only`() =
        runBlocking<Unit> {
            fault(FaultName.FAIL_ALL)
            val other = HttpWorkerClient(server.baseUrlOf(WorkerId("solin-w2")), LONG_MS, transport)
            expectThat(other.dispatch(request("r1"), LONG_MS)).isA<DispatchResult.Answered>()
        }

    private companion object {
        val W1 = WorkerId("solin-w1")

        // No call of these tests should reach this deadline.
        const val LONG_MS = 20_000L

        // Calls with this deadline end only by reaching it.
        const val SHORT_MS = 300L
    }
}
