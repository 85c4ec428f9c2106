package org.orioleferry.daemon.requests

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.core.Clock
import org.orioleferry.core.event.EventSink
import org.orioleferry.core.event.EventType
import org.orioleferry.core.model.InstanceId
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.SealResult
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.min

/** What is known of a request after an attempt to resolve it. */
internal sealed interface Resolution {
    /** The row has its final state. */
    data class Final(
        val stored: StoredRecord,
    ) : Resolution

    /** The row is absent. */
    data object Absent : Resolution

    /** Nothing can be concluded yet. */
    data object Open : Resolution
}

/**
 * Decides requests whose dispatch ended without an answer, by sealing them at the worker named in the row.
 *
 * The identifier that is sealed is always the one in the row, and the row is changed on condition that it still has the
 * version read. A dispatcher that is slow rather than dead is thereby harmless: its worker refuses the sealed
 * identifier, and every new attempt has a new one.
 */
internal class Resolver(
    private val journal: IntentJournal,
    private val pool: UpstreamPool,
    private val clock: Clock,
    private val settings: RequestSettings,
    private val events: EventSink,
    private val liveInstances: () -> Set<InstanceId>,
) {
    /** A row to resolve. [unsentRequestId] is an attempt that this instance never sent and never will. */
    private class OpenRow(
        val key: String,
        val unsentRequestId: String?,
        val sinceMs: Long,
    ) {
        var dueMs = sinceMs
        var pauseMs = FIRST_PAUSE_MS
        var absentCount = 0
    }

    private val open = LinkedHashMap<String, OpenRow>()
    private val dispatching = ConcurrentHashMap.newKeySet<String>()

    /** Rows that wait for resolution. */
    val openCount: Int get() = synchronized(open) { open.size }

    /** Notes that this instance is about to write and send [requestId]. */
    fun beginDispatch(requestId: String) {
        dispatching += requestId
    }

    /** Notes that the call that sent [requestId] has ended. */
    fun endDispatch(requestId: String) {
        dispatching -= requestId
    }

    /** Whether nobody works on the row: its instance is dead, or it is this one and the call has ended. */
    fun isOrphan(record: RequestRecord): Boolean =
        if (record.instance == settings.instance) {
            record.requestId !in dispatching
        } else {
            record.instance !in liveInstances()
        }

    /** Takes the row of [key] over for background resolution. A row that finds no room is found by the scan later. */
    fun offer(
        key: String,
        unsentRequestId: String? = null,
    ) {
        synchronized(open) {
            if (open.size < MAX_OPEN) open.putIfAbsent(key, OpenRow(key, unsentRequestId, clock.monotonicMs()))
        }
    }

    /** Resolves offered rows until it is cancelled. */
    suspend fun run() {
        while (true) {
            delay(TICK_MS)
            val now = clock.monotonicMs()
            val due = synchronized(open) { open.values.filter { it.dueMs <= now }.take(PARALLEL) }
            coroutineScope { due.forEach { launch { attend(it) } } }
        }
    }

    /** Resolves the row of [key] again and again until it is final or [endMs] has come. */
    suspend fun resolveUntil(
        key: String,
        endMs: Long,
    ): Resolution {
        var pauseMs = FIRST_PAUSE_MS
        while (clock.monotonicMs() < endMs) {
            val resolution = withTimeoutOrNull(endMs - clock.monotonicMs()) { resolve(key) }
            if (resolution is Resolution.Final) return resolution
            delay(min(pauseMs, maxOf(0, endMs - clock.monotonicMs())))
            pauseMs = min(MAX_PAUSE_MS, pauseMs * 2)
        }
        return Resolution.Open
    }

    /** Seals the request of the row of [key] once and records what the worker says. */
    suspend fun resolve(
        key: String,
        unsentRequestId: String? = null,
    ): Resolution {
        val read = journal.read(key) as? ReadResult.Found ?: return Resolution.Open
        val stored = read.value ?: return Resolution.Absent
        val record = stored.record
        if (record.state != RecordState.INTENT) return Resolution.Final(stored)
        val next = if (record.requestId == unsentRequestId) record.refused("it was not sent") else sealed(record)
        if (next == null) return Resolution.Open
        return when (val write = journal.write(next, key, stored.version, settings.storeDeadlineMs)) {
            is WriteResult.Written -> Resolution.Final(StoredRecord(next, write.version)).also { report(key, next) }
            is WriteResult.Conflict, WriteResult.Unavailable, WriteResult.Unknown -> Resolution.Open
        }
    }

    private suspend fun sealed(record: RequestRecord): RequestRecord? {
        val client = pool.clientOf(record.worker, record.workerUrl)
        val seal =
            withTimeoutOrNull(SEAL_DEADLINE_MS) { client.seal(record.requestId) }
                ?: SealResult.Unavailable("no answer from the worker")
        return when (seal) {
            is SealResult.Done -> record.done(seal.result)
            SealResult.Failed -> record.failed("the request failed on the worker")
            SealResult.NeverRun -> record.refused("the worker never ran the request")
            SealResult.Running, is SealResult.Unavailable -> null
        }
    }

    private suspend fun attend(row: OpenRow) {
        val resolution = resolve(row.key, row.unsentRequestId)
        if (resolution is Resolution.Absent) row.absentCount++
        synchronized(open) {
            if (resolution is Resolution.Final || row.absentCount > MAX_ABSENT) {
                open.remove(row.key, row)
            } else {
                row.dueMs = clock.monotonicMs() + row.pauseMs
                row.pauseMs = min(MAX_PAUSE_MS, row.pauseMs * 2)
            }
        }
    }

    private fun report(
        key: String,
        record: RequestRecord,
    ) {
        events(
            EventType.REQUEST_RESOLVED,
            mapOf("request" to record.requestId, "key" to key, "state" to record.state.name.lowercase()),
        )
    }

    private companion object {
        const val TICK_MS = 100L
        const val FIRST_PAUSE_MS = 50L
        const val MAX_PAUSE_MS = 5_000L
        const val SEAL_DEADLINE_MS = 800L

        /** Rows resolved at once, so that an outage of a worker does not turn into a burst at the store. */
        const val PARALLEL = 8

        /** Bounds the memory that a long outage can take; further rows are found by the scan. */
        const val MAX_OPEN = 10_000

        /** An intent whose answer was lost may still arrive; an absent row is looked at this often. */
        const val MAX_ABSENT = 8
    }
}
