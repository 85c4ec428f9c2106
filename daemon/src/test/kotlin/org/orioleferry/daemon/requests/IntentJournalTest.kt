package org.orioleferry.daemon.requests

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.WorkerId
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.TableOperation
import org.orioleferry.platform.TableService
import org.orioleferry.standins.FunctionClock
import org.orioleferry.standins.InMemoryTableService
import org.orioleferry.standins.StoreFault
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

@OptIn(ExperimentalCoroutinesApi::class)
class IntentJournalTest {
    private val record =
        RequestRecord("r1", RecordState.INTENT, SHEDS, CREDIT, WorkerId("w0"), "w0", InstanceId("e1"), "d", 0)

    // Guards against one transaction per row, which exceeds the capacity of the store.
    @Test
    fun `concurrent requests should share transactions`() {
        listOf(1, 10, 100, 1_000).forEach { concurrency ->
            val (grouped, groupedMs) = transactionsPerRequest(concurrency, IntentJournal.MAX_BATCH)
            val (single, singleMs) = transactionsPerRequest(concurrency, 1)
            println(
                "measured: $concurrency at once: $grouped transactions a request in $groupedMs ms, " +
                    "without group commit $single in $singleMs ms",
            )
            expectThat(single).isEqualTo(2.0)
            if (concurrency >= 100) expectThat(grouped).isLessThan(0.2)
        }
    }

    /** Writes the intent and the result of 1,000 requests in groups of [concurrency]; also gives the time taken. */
    private fun transactionsPerRequest(
        concurrency: Int,
        maxBatch: Int,
    ): Pair<Double, Long> {
        var result = 0.0 to 0L
        runTest {
            val journal = journal(InMemoryTableService { delayCommit() }, maxBatch)
            repeat(1_000 / concurrency) { group ->
                List(concurrency) { async { writeBoth(journal, "k$group-$it") } }.awaitAll()
            }
            result = journal.transactions / 1_000.0 to testScheduler.currentTime
        }
        return result
    }

    private suspend fun writeBoth(
        journal: IntentJournal,
        key: String,
    ) {
        val intent = journal.write(record.copy(requestId = key), key, 0, 60_000) as WriteResult.Written
        journal.write(record.copy(requestId = key).done("ok"), key, intent.version, 60_000)
    }

    // Guards against a conflict that fails or delays the other requests of its transaction, and against two writes of
    // one row that both pass the version comparison.
    @Test
    fun `a conflict of one row should not fail the others`() =
        runTest {
            val journal = journal(InMemoryTableService { delayCommit() })
            write(journal, "k7")
            val results = (List(20) { "k$it" } + "k3").map { async { it to write(journal, it) } }.awaitAll()
            val conflicts = results.filter { it.second is WriteResult.Conflict }.map { it.first }.toSet()
            expectThat(conflicts).isEqualTo(setOf("k3", "k7"))
            expectThat(results.count { it.second is WriteResult.Written }).isEqualTo(19)
        }

    // Guards against a request that is refused although its intent was written.
    @Test
    fun `a write whose answer is lost should be recognised as its own`() =
        runTest {
            var commits = 0
            val store =
                InMemoryTableService {
                    if (it.isNotEmpty() &&
                        commits++ == 0
                    ) {
                        StoreFault.LOSE_ANSWER
                    } else {
                        StoreFault.NONE
                    }
                }
            expectThat(write(journal(store), "k1")).isEqualTo(WriteResult.Written(1))
        }

    // Guards against a transaction that takes effect after its row was read back as absent.
    @Test
    fun `a transaction that takes effect late should not overwrite what was concluded`() =
        runTest {
            val store = InMemoryTableService()
            val late = DelayedStore(store, this)
            val journal = journal(late)
            val first = write(journal, "k1")
            expectThat(first).isA<WriteResult.Written>()
            delay(60_000)
            val row = (journal.read("k1") as ReadResult.Found).value
            expectThat(row?.version).isEqualTo((first as WriteResult.Written).version)
        }

    // Guards against an answer that is recorded only if the store works at the moment of the answer.
    @Test
    fun `a final write should be repeated in the background until it succeeds`() =
        runTest {
            var isDown = false
            val journal = journal(InMemoryTableService { if (isDown) StoreFault.DOWN else StoreFault.NONE })
            write(journal, "k1")
            isDown = true
            expectThat(journal.finish(record.done("ok"), "k1", 1)).isEqualTo(WriteResult.Unknown)
            isDown = false
            delay(2_000)
            expectThat((journal.read("k1") as ReadResult.Found).value?.record?.state).isEqualTo(RecordState.DONE)
        }

    // Guards against unbounded memory use during a long outage of the store.
    @Test
    fun `waiting writes should be bounded`() =
        runTest {
            val journal = journal(InMemoryTableService { StoreFault.DOWN })
            val results =
                List(
                    6_000,
                ) { async { journal.finish(record.copy(requestId = "r$it"), "k$it", 0) } }.awaitAll()
            expectThat(journal.backlog).isLessThan(IntentJournal.MAX_PENDING + 2 * IntentJournal.MAX_BATCH)
            expectThat(results.count { it == WriteResult.Unavailable }).isEqualTo(6_000 - IntentJournal.MAX_PENDING)
        }

    private fun TestScope.journal(
        table: TableService,
        maxBatch: Int = IntentJournal.MAX_BATCH,
    ): IntentJournal {
        val clock = FunctionClock { testScheduler.currentTime }
        val journal = IntentJournal(table, clock, RequestSettings(InstanceId("e1")), maxBatch)
        backgroundScope.launch { journal.run() }
        return journal
    }

    private suspend fun write(
        journal: IntentJournal,
        key: String,
    ) = journal.write(record.copy(requestId = "r-$key"), key, 0, 5_000)

    private suspend fun delayCommit(): StoreFault {
        delay(10)
        return StoreFault.NONE
    }

    /** Answers the first transaction as unknown and applies it 30 s later. */
    private class DelayedStore(
        private val store: InMemoryTableService,
        private val scope: TestScope,
    ) : TableService by store {
        private var commits = 0

        override suspend fun commit(operations: List<TableOperation>): CommitResult {
            if (commits++ > 0) return store.commit(operations)
            scope.backgroundScope.launch {
                delay(30_000)
                store.commit(operations)
            }
            return CommitResult.Unknown("no answer")
        }
    }
}
