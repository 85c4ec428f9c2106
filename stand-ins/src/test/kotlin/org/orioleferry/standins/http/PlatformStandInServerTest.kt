package org.orioleferry.standins.http

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.orioleferry.core.ManualClock
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.FaultBody
import org.orioleferry.platform.ListedInstance
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.Row
import org.orioleferry.platform.RowConflict
import org.orioleferry.platform.TableOperation
import org.orioleferry.platform.http.HttpInstanceList
import org.orioleferry.platform.http.HttpInstanceRegistry
import org.orioleferry.platform.http.HttpObjectStore
import org.orioleferry.platform.http.HttpTableService
import org.orioleferry.platform.http.HttpTransport
import org.orioleferry.standins.FaultName
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

class PlatformStandInServerTest {
    private val clock = ManualClock()
    private val server = PlatformStandInServer(clock = clock, seed = 1)
    private val transport = HttpTransport()

    @BeforeEach
    fun start() = runBlocking<Unit> { server.start() }

    @AfterEach
    fun stop() =
        runBlocking<Unit> {
            transport.close()
            server.stop()
        }

    private fun service(deadlineMs: Long = LONG_MS) = HttpTableService(server.baseUrl, deadlineMs, transport)

    private fun put(
        key: String,
        expected: Long?,
    ) = listOf(TableOperation("jobs", key, expected, "v-$key"))

    // Guards against a difference between the wire form of the client and that of the store.
    @Test
    fun `rows, scans and conflicts should pass over the wire`() =
        runBlocking<Unit> {
            val service = service()
            expectThat(service.commit(put("solin/a b", 0))).isEqualTo(CommitResult.Committed(listOf(1)))
            expectThat(service.commit(put("solin/c", 0))).isEqualTo(CommitResult.Committed(listOf(2)))
            expectThat(service.commit(put("solin/c", 0)))
                .isEqualTo(CommitResult.Conflicted(listOf(RowConflict(0, 2, "v-solin/c"))))
            val row = Row("solin/a b", "v-solin/a b", 1)
            expectThat(service.read("jobs", "solin/a b")).isEqualTo(ReadResult.Found(row))
            expectThat(service.read("jobs", "solin/x")).isEqualTo(ReadResult.Found(null))
            expectThat(service.scan("jobs", "solin/", after = null, limit = 1)).isEqualTo(ReadResult.Found(listOf(row)))
            expectThat(service.scan("jobs", "split/")).isEqualTo(ReadResult.Found(emptyList()))
        }

    // Guards against an object whose key or text changes on the wire.
    @Test
    fun `objects should pass over the wire`() =
        runBlocking<Unit> {
            val store = HttpObjectStore(server.baseUrl, LONG_MS, transport)
            expectThat(store.get("a/b")).isEqualTo(ReadResult.Found(null))
            expectThat(store.put("a/b", "ž€ {}")).isA<CommitResult.Committed>()
            expectThat(store.get("a/b")).isEqualTo(ReadResult.Found("ž€ {}"))
        }

    // Guards against an outage that leaves an effect, and against a lost answer that leaves none.
    @Test
    fun `a store that is down should have no effect and a lost answer should have one`() =
        runBlocking<Unit> {
            server.setFault(FaultBody(FaultName.DOWN, durationMs = 1_000))
            expectThat(service().commit(put("a", 0))).isA<CommitResult.Unavailable>()
            expectThat(service().read("jobs", "a")).isA<ReadResult.Unavailable>()
            clock.advance(1_000)
            expectThat(service().read("jobs", "a")).isEqualTo(ReadResult.Found(null))
            server.setFault(FaultBody(FaultName.LOSE_ANSWERS))
            expectThat(service(SHORT_MS).commit(put("a", 0))).isA<CommitResult.Unknown>()
            server.setFault(FaultBody(FaultName.NONE))
            expectThat(service().read("jobs", "a")).isEqualTo(ReadResult.Found(Row("a", "v-a", 1)))
        }

    // Guards against callers that conclude from a missing answer that a transaction will not take effect any more.
    @Test
    fun `a transaction that was sent to a frozen store should take effect after the freeze`() =
        runBlocking<Unit> {
            server.setFault(FaultBody(FaultName.FREEZE))
            expectThat(service(SHORT_MS).commit(put("a", 0))).isA<CommitResult.Unknown>()
            server.setFault(FaultBody(FaultName.NONE))
            val row = ReadResult.Found(Row("a", "v-a", 1))
            withTimeout(LONG_MS) { while (service().read("jobs", "a") != row) delay(1) }
        }

    // Guards against a list that shows changes at once, which would hide errors of callers that rely on it.
    @Test
    fun `the list should show each change after its lag`() =
        runBlocking<Unit> {
            val list = HttpInstanceList(server.baseUrl, LONG_MS, transport)
            val registry = HttpInstanceRegistry(server.baseUrl, LONG_MS, transport)
            val instance = ListedInstance("entry-1", ListedInstance.KIND_ENTRY, "solin", address = "http://127.0.0.1:1")
            server.setFault(FaultBody(FaultName.LIST_LAG, delayMs = 2_000))
            expectThat(registry.put(instance)).isA<CommitResult.Committed>()
            clock.advance(1_999)
            expectThat(list.list()).isEqualTo(ReadResult.Found(emptyList()))
            clock.advance(1)
            expectThat(list.list()).isEqualTo(ReadResult.Found(listOf(instance)))
            registry.remove("entry-1")
            expectThat(list.list()).isEqualTo(ReadResult.Found(listOf(instance)))
            clock.advance(2_000)
            expectThat(list.list()).isEqualTo(ReadResult.Found(emptyList()))
        }

    private companion object {
        // No call of these tests should reach this deadline.
        const val LONG_MS = 20_000L

        // Calls with this deadline end only by reaching it.
        const val SHORT_MS = 300L
    }
}
