package org.orioleferry.coordination.testing

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.orioleferry.core.Clock
import org.orioleferry.core.event.EventSink
import org.orioleferry.core.event.EventType
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.TableOperation
import org.orioleferry.platform.TableService

/** The virtual time of a test scheduler. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class VirtualClock(
    private val scheduler: TestCoroutineScheduler,
) : Clock {
    override fun monotonicMs(): Long = scheduler.currentTime

    override fun wallMs(): Long = scheduler.currentTime
}

/** One instance's link to the store: counts calls by second, adds [latencyMs] each way, can pause its caller. */
internal class StoreLink(
    private val store: TableService,
    private val clock: Clock,
    private val latencyMs: () -> Long = { 1 },
) : TableService {
    /** Decides whether a commit is answered as unknown at once and takes effect later. */
    var sendsLate: (suspend (send: suspend () -> Unit) -> Boolean) = { false }

    /** Time until which the process of this instance is paused. */
    var pausedUntilMs = 0L
    val callsBySecond = sortedMapOf<Long, Int>()
    var isDisconnected = false

    override suspend fun read(
        table: String,
        key: String,
    ) = call { if (isDisconnected) ReadResult.Unavailable("disconnected") else store.read(table, key) }

    override suspend fun scan(
        table: String,
        prefix: String,
        after: String?,
        limit: Int,
    ) = call { if (isDisconnected) ReadResult.Unavailable("disconnected") else store.scan(table, prefix, after, limit) }

    override suspend fun commit(operations: List<TableOperation>) =
        call {
            when {
                isDisconnected -> CommitResult.Unavailable("disconnected")
                sendsLate { store.commit(operations) } -> CommitResult.Unknown("late")
                else -> store.commit(operations)
            }
        }

    suspend fun awaitPauseEnd() {
        while (clock.monotonicMs() < pausedUntilMs) delay(pausedUntilMs - clock.monotonicMs())
    }

    private suspend fun <T> call(send: suspend () -> T): T {
        awaitPauseEnd()
        callsBySecond.merge(clock.monotonicMs() / 1_000, 1, Int::plus)
        delay(latencyMs())
        val result = send()
        delay(latencyMs())
        awaitPauseEnd()
        return result
    }
}

/** Records the types of events for assertions. */
internal class RecordedEvents : EventSink {
    val types = mutableListOf<EventType>()

    override fun invoke(
        type: EventType,
        attributes: Map<String, String>,
    ) {
        types += type
    }
}
