package org.orioleferry.daemon.requests

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.core.Clock
import org.orioleferry.core.api.LateItem
import org.orioleferry.core.event.EventSink
import org.orioleferry.core.event.EventType
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.SealResult
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.min

/** Result of an attempt to resolve a request. */
internal sealed interface Resolution {
    /** The attempt has ended: the row has a final state or belongs to another attempt. */
    data class Final(
        val stored: StoredRecord,
    ) : Resolution

    /** The row is absent. */
    data object Absent : Resolution

    /** Nothing can be concluded yet. */
    data object Open : Resolution
}

/**
 * Finds the outcome of requests whose dispatch ended without an answer, by sealing them at the worker named in the row.
 *
 * The sealed identifier is always the one in the row, and the row is changed only if it still has the version read. A
 * dispatcher that is slow but not dead therefore does no harm: its worker refuses the sealed identifier, and every new
 * attempt has a new one.
 */
internal class Resolver(
    private val journal: IntentJournal,
    private val pool: UpstreamPool,
    private val clock: Clock,
    private val settings: RequestSettings,
    private val events: EventSink,
    private val peers: RequestPeers,
) {
    /** An attempt of unknown outcome. [isUnsent] when this instance never sent it and never will. */
    private class OpenAttempt(
        val key: String,
        val requestId: String,
        val isUnsent: Boolean,
        val sinceMs: Long,
    ) {
        var dueMs = sinceMs
        var pauseMs = FIRST_PAUSE_MS
        var absentCount = 0
    }

    private val open = LinkedHashMap<String, OpenAttempt>()
    private val dispatching = ConcurrentHashMap.newKeySet<String>()

    /** Attempts that wait for resolution. */
    val openCount: Int get() = synchronized(open) { open.size }

    /** Requests whose outcome this instance is trying to find out, for operators. */
    fun unknownOutcomes(): List<LateItem> {
        val now = clock.monotonicMs()
        return synchronized(open) { open.values.filterNot { it.isUnsent } }.map {
            val workspace = WorkspaceName(it.key.substringBeforeLast('/'))
            LateItem(
                "request",
                it.requestId,
                workspace,
                "unknown",
                now - it.sinceMs,
                "key ${it.key.substringAfterLast('/')}",
            )
        }
    }

    /** Records that this instance is about to write and send [requestId]. */
    fun beginDispatch(requestId: String) {
        dispatching += requestId
    }

    /** Records that the call that sent [requestId] has ended. */
    fun endDispatch(requestId: String) {
        dispatching -= requestId
    }

    /** Whether no call handles the row: its instance is dead, or it is this one and the call has ended. */
    fun isOrphan(record: RequestRecord): Boolean =
        if (record.instance == settings.instance) {
            record.requestId !in dispatching
        } else {
            record.instance !in peers.liveInstances()
        }

    /**
     * Queues the attempt [requestId] of the row of [key] for background resolution. An attempt beyond
     * [MAX_OPEN_ATTEMPTS] is dropped, and the scan finds its row later.
     */
    fun offer(
        key: String,
        requestId: String,
        isUnsent: Boolean = false,
    ) {
        synchronized(open) {
            if (open.size >= MAX_OPEN_ATTEMPTS) return
            open.putIfAbsent(requestId, OpenAttempt(key, requestId, isUnsent, clock.monotonicMs()))
        }
    }

    /** Resolves offered attempts until it is cancelled. */
    suspend fun run() {
        while (true) {
            delay(TICK_MS)
            val now = clock.monotonicMs()
            val due = synchronized(open) { open.values.filter { it.dueMs <= now }.take(MAX_PARALLEL) }
            coroutineScope { due.forEach { launch { resolveOpen(it) } } }
        }
    }

    /** Repeats [resolve] until the attempt is final or the monotonic clock reads [endMs]. */
    suspend fun resolveUntil(
        key: String,
        requestId: String,
        endMs: Long,
    ): Resolution {
        var pauseMs = FIRST_PAUSE_MS
        while (clock.monotonicMs() < endMs) {
            val resolution = withTimeoutOrNull(endMs - clock.monotonicMs()) { resolve(key, requestId) }
            if (resolution is Resolution.Final) return resolution
            delay(min(pauseMs, maxOf(0, endMs - clock.monotonicMs())))
            pauseMs = min(MAX_PAUSE_MS, pauseMs * 2)
        }
        return Resolution.Open
    }

    /**
     * Seals the attempt [requestId] once, if the row of [key] is still an intent for it, and records the answer
     * of the worker. A row of another attempt is left unchanged, since that one may be in progress.
     */
    suspend fun resolve(
        key: String,
        requestId: String,
        isUnsent: Boolean = false,
    ): Resolution {
        val read = journal.read(key) as? ReadResult.Found ?: return Resolution.Open
        val stored = read.value ?: return Resolution.Absent
        val record = stored.record
        if (record.state != RecordState.INTENT || record.requestId != requestId) return Resolution.Final(stored)
        val next = (if (isUnsent) record.refused("it was not sent") else sealAtWorker(record)) ?: return Resolution.Open
        return when (val write = journal.write(next, key, stored.version, settings.storeDeadlineMs)) {
            is WriteResult.Written -> Resolution.Final(StoredRecord(next, write.version)).also { report(key, next) }
            is WriteResult.Conflict, WriteResult.Unavailable, WriteResult.Unknown -> Resolution.Open
        }
    }

    private suspend fun sealAtWorker(record: RequestRecord): RequestRecord? {
        val client = pool.clientOf(record.worker, record.workerUrl)
        val seal =
            withTimeoutOrNull(SEAL_DEADLINE_MS) { client.seal(record.requestId) }
                ?: SealResult.Unavailable("no answer from the worker")
        if (seal !is SealResult.Unavailable) pool.recordAnswer(record.worker)
        return when (seal) {
            is SealResult.Done -> record.done(seal.result)
            SealResult.Failed -> record.failed("the request failed on the worker")
            SealResult.NeverRun -> record.refused("the worker never ran the request")
            SealResult.Running, is SealResult.Unavailable -> null
        }
    }

    private suspend fun resolveOpen(attempt: OpenAttempt) {
        val resolution = resolve(attempt.key, attempt.requestId, attempt.isUnsent)
        if (resolution is Resolution.Absent) attempt.absentCount++
        synchronized(open) {
            if (resolution is Resolution.Final || attempt.absentCount > MAX_ABSENT_READS) {
                open.remove(attempt.requestId)
            } else {
                attempt.dueMs = clock.monotonicMs() + attempt.pauseMs
                attempt.pauseMs = min(MAX_PAUSE_MS, attempt.pauseMs * 2)
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

        /** Rows resolved concurrently; bounds the burst of store calls after an outage of a worker. */
        const val MAX_PARALLEL = 8

        /** Maximum queued attempts; bounds the memory used during a long outage. The scan finds further rows. */
        const val MAX_OPEN_ATTEMPTS = 10_000

        /** Repeated reads of an absent row, since an intent write whose answer was lost may still take effect. */
        const val MAX_ABSENT_READS = 8
    }
}
