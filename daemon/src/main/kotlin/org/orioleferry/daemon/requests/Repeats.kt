package org.orioleferry.daemon.requests

import kotlinx.coroutines.delay
import org.orioleferry.core.Clock
import org.orioleferry.core.api.RequestAnswer
import org.orioleferry.platform.ReadResult
import kotlin.math.min

/** What a repeat of a request leads to. */
internal sealed interface Repeated {
    /** The repeat ends with [result]. */
    data class Ended(
        val result: RequestResult,
    ) : Repeated

    /** The first request did not run; the row has [version]. */
    data class RunAnew(
        val version: Long,
    ) : Repeated
}

/** Answers requests whose key has a row already. */
internal class Repeats(
    private val journal: IntentJournal,
    private val resolver: Resolver,
    private val clock: Clock,
    private val settings: RequestSettings,
) {
    /** Waits a little for a row in the state `intent`, since its first request is usually about to end. */
    suspend fun answer(
        context: RequestContext,
        row: StoredRecord,
    ): Repeated {
        var stored = row
        var pauseMs = FIRST_PAUSE_MS
        val endMs = min(context.deadlineAtMs, clock.monotonicMs() + settings.repeatWaitMs)
        while (true) {
            known(context, stored)?.let { return Repeated.Ended(it) }
            if (stored.record.state == RecordState.REFUSED) return Repeated.RunAnew(stored.version)
            if (clock.monotonicMs() + pauseMs > endMs) return Repeated.Ended(unknown(stored))
            delay(pauseMs)
            pauseMs = min(MAX_PAUSE_MS, pauseMs * 2)
            stored = current(context, stored) ?: stored
        }
    }

    /** The result that the row settles by itself; null when it is open or may be run anew. */
    fun known(
        context: RequestContext,
        stored: StoredRecord,
    ): RequestResult? {
        val record = stored.record
        if (record.digest != RequestRecord.digestOf(context.body)) {
            return RequestResult.Refused(RequestFailures.keyReused())
        }
        return when (record.state) {
            RecordState.DONE -> recorded(record)
            RecordState.FAILED -> RequestResult.Refused(RequestFailures.upstreamFailed(record.reason.orEmpty()))
            RecordState.INTENT, RecordState.REFUSED -> null
        }
    }

    /** The result for a row whose outcome is open. */
    fun unknown(stored: StoredRecord): RequestResult {
        val reason = "the first request with this key has not ended"
        return RequestResult.Refused(RequestFailures.outcomeUnknown(stored.record.requestId, reason))
    }

    private suspend fun current(
        context: RequestContext,
        stored: StoredRecord,
    ): StoredRecord? {
        if (resolver.isOrphan(stored.record)) {
            val resolution = resolver.resolve(context.rowKey, stored.record.requestId)
            return (resolution as? Resolution.Final)?.stored
        }
        return (journal.read(context.rowKey) as? ReadResult.Found)?.value
    }

    private fun recorded(record: RequestRecord): RequestResult {
        val result = record.result
        return if (result == null) {
            RequestResult.Refused(RequestFailures.resultNotRecorded(record.requestId))
        } else {
            RequestResult.Answered(RequestAnswer(record.requestId, Dispatcher.OUTCOME_DONE, result, record.worker))
        }
    }

    private companion object {
        const val FIRST_PAUSE_MS = 50L
        const val MAX_PAUSE_MS = 400L
    }
}
