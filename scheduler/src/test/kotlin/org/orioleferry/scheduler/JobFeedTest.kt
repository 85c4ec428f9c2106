package org.orioleferry.scheduler

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.owner.JobFeed
import org.orioleferry.scheduler.simulation.VirtualClock
import org.orioleferry.scheduler.store.CommitResult
import org.orioleferry.scheduler.store.FeedResult
import org.orioleferry.scheduler.store.RowStore
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.store.ScanResult
import org.orioleferry.scheduler.store.StoredRow
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.get
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

@OptIn(ExperimentalCoroutinesApi::class)
class JobFeedTest {
    private val seenAtMs = HashMap<String, Long>()
    private val applied = ArrayList<String>()

    private fun TestScope.follow(store: RowStore) {
        val feed = JobFeed(store, VirtualClock(this), DecisionLog { _, _, _ -> }, { _, _ -> }, {})
        backgroundScope.launch {
            feed.follow(0) { row ->
                applied += row.key.key + if (row.isDeleted) " deleted" else ""
                seenAtMs.putIfAbsent(row.key.key, currentTime)
            }
        }
    }

    private fun row(
        id: String,
        version: Long,
        isDeleted: Boolean = false,
    ) = StoredRow(Rows.job(id), "", version, isDeleted)

    // Guards against new jobs that are seen only after the whole table was read: on a day with bursts it took 1.1 s, in
    // which no urgent job was started.
    @Test
    fun `should see a new job while the whole table is read after a loss of the history`() =
        runTest {
            val store =
                object : ScriptedStore() {
                    override suspend fun changesAfter(version: Long) =
                        when (version) {
                            0L -> FeedResult.HistoryLost
                            50L -> FeedResult.Changes(listOf(row("new", 51)), 51)
                            else -> awaitCancellation()
                        }

                    override suspend fun rowsOf(part: String): List<StoredRow> {
                        delay(1_000)
                        return if (part == Rows.job("old").part) listOf(row("old", 7)) else emptyList()
                    }
                }
            follow(store)
            delay(20_000)
            expectThat(seenAtMs["new"]!!).isLessThan(100)
            expectThat(applied).containsExactly("new", "old")
        }

    // Guards against a removed job that a read of the table, begun before the removal, would bring back and run again.
    @Test
    fun `should not bring back a job that is removed while the whole table is read`() =
        runTest {
            val store =
                object : ScriptedStore() {
                    override suspend fun changesAfter(version: Long) =
                        when (version) {
                            0L -> FeedResult.HistoryLost
                            50L -> FeedResult.Changes(listOf(row("ended", 51, isDeleted = true)), 51)
                            else -> awaitCancellation()
                        }

                    override suspend fun rowsOf(part: String): List<StoredRow> {
                        delay(1_000)
                        return if (part == Rows.job("ended").part) listOf(row("ended", 7)) else emptyList()
                    }
                }
            follow(store)
            delay(20_000)
            expectThat(applied).containsExactly("ended deleted")
        }

    // Guards against a removed job that a read brings back when the history is lost again during the read.
    @Test
    fun `should discard a read that began before the history was lost again`() =
        runTest {
            var reads = 0
            val store =
                object : ScriptedStore() {
                    private var losses = 0

                    override suspend fun changesAfter(version: Long): FeedResult {
                        if (version == 50L) delay(200)
                        return if (losses++ < 2) FeedResult.HistoryLost else awaitCancellation()
                    }

                    override suspend fun rowsOf(part: String): List<StoredRow> {
                        val isFirst = reads++ < Rows.JOB_PARTS
                        delay(1_000)
                        val shown = if (isFirst) row("ended", 7) else row("other", 8)
                        return if (part == shown.key.part) listOf(shown) else emptyList()
                    }
                }
            follow(store)
            delay(30_000)
            expectThat(applied).containsExactly("other")
        }

    // Guards against jobs that wait for the end of a feed call which was sent while the store gave no answers.
    @Test
    fun `should ask in short calls while the store does not answer`() =
        runTest {
            val outageEndMs = 4_200L
            val store =
                object : ScriptedStore() {
                    override suspend fun feed(
                        table: String,
                        after: Long,
                        waitMs: Int,
                    ): FeedResult {
                        if (currentTime < outageEndMs) {
                            delay(waitMs + ANSWER_TIMEOUT_MS)
                            return FeedResult.Unavailable("no answer")
                        }
                        return if (after == 0L) FeedResult.Changes(listOf(row("new", 1)), 1) else awaitCancellation()
                    }
                }
            follow(store)
            delay(20_000)
            expectThat(seenAtMs["new"]!! - outageEndMs).isLessThan(ANSWER_TIMEOUT_MS + 200)
        }

    // Guards against an end of the table's read that is never tried again.
    @Test
    fun `should read the whole table again until every part has answered`() =
        runTest {
            var failures = 10
            val store =
                object : ScriptedStore() {
                    override suspend fun changesAfter(version: Long) =
                        if (version == 0L) FeedResult.HistoryLost else awaitCancellation()

                    override suspend fun rowsOf(part: String): List<StoredRow>? =
                        if (failures-- > 0) null else listOf(row("job-$part", 3))
                }
            follow(store)
            delay(20_000)
            expectThat(applied.size).isEqualTo(Rows.JOB_PARTS)
            expectThat(applied)[0].isEqualTo("job-0")
        }

    /** A store at version 50 whose answers a test scripts. */
    private abstract class ScriptedStore : RowStore {
        open suspend fun changesAfter(version: Long): FeedResult = awaitCancellation()

        open suspend fun rowsOf(part: String): List<StoredRow>? = emptyList()

        override suspend fun feed(
            table: String,
            after: Long,
            waitMs: Int,
        ): FeedResult = changesAfter(after)

        override suspend fun scan(
            table: String,
            part: String,
            from: String?,
            until: String?,
            limit: Int,
        ): ScanResult =
            when {
                table != Rows.JOBS -> ScanResult.Rows(emptyList(), 50)
                else -> rowsOf(part)?.let { ScanResult.Rows(it, 50) } ?: ScanResult.Unavailable("status 503")
            }

        override suspend fun commit(transaction: RowTransaction): CommitResult = CommitResult.Unavailable("read only")
    }

    private companion object {
        const val ANSWER_TIMEOUT_MS = 1_000L
    }
}
