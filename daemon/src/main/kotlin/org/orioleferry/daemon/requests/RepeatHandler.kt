package org.orioleferry.daemon.requests

import kotlinx.coroutines.delay
import org.orioleferry.core.Clock
import org.orioleferry.core.api.RequestAnswer
import org.orioleferry.platform.ReadResult
import kotlin.math.min

/** Result of handling a repeat of a request. */
internal sealed interface RepeatOutcome {
    /** The repeat ends with [result]. */
    data class Ended(
        val result: RequestResult,
    ) : RepeatOutcome

    /** The first request did not run, so the repeat may run; the row has [version]. */
    data class RunAgain(
        val version: Long,
    ) : RepeatOutcome
}

/** Answers requests whose key already has a row. */
internal class RepeatHandler(
    private val journal: IntentJournal,
    private val resolver: Resolver,
    private val clock: Clock,
    private val settings: RequestSettings,
) {
    /** Waits up to [RequestSettings.repeatWaitMs] for a row in the state `intent`, whose request usually ends soon. */
    suspend fun answer(
        context: RequestContext,
        row: StoredRecord,
    ): RepeatOutcome {
        var stored = row
        var pauseMs = FIRST_PAUSE_MS
        val endMs = min(context.deadlineAtMs, clock.monotonicMs() + settings.repeatWaitMs)
        while (true) {
            knownResult(context, stored)?.let { return RepeatOutcome.Ended(it) }
            if (stored.record.state == RecordState.REFUSED) return RepeatOutcome.RunAgain(stored.version)
            if (clock.monotonicMs() + pauseMs > endMs) return RepeatOutcome.Ended(unknownResult(stored))
            delay(pauseMs)
            pauseMs = min(MAX_PAUSE_MS, pauseMs * 2)
            stored = readCurrent(context, stored) ?: stored
        }
    }

    /** The result that follows from the row alone; null when its outcome is open or the request may run again. */
    fun knownResult(
        context: RequestContext,
        stored: StoredRecord,
    ): RequestResult? {
        val record = stored.record
        if (record.digest != RequestRecord.digestOf(context.body)) {
            return RequestResult.Refused(RequestFailures.keyReused())
        }
        return when (record.state) {
            RecordState.DONE -> recordedResult(record)
            RecordState.FAILED -> RequestResult.Refused(RequestFailures.upstreamFailed(record.reason.orEmpty()))
            RecordState.INTENT, RecordState.REFUSED -> null
        }
    }

    /** The result for a row whose outcome is open. */
    fun unknownResult(stored: StoredRecord): RequestResult {
        val reason = "the first request with this key has not ended"
        return RequestResult.Refused(RequestFailures.outcomeUnknown(stored.record.requestId, reason))
    }

    private suspend fun readCurrent(
        context: RequestContext,
        stored: StoredRecord,
    ): StoredRecord? {
        if (resolver.isOrphan(stored.record)) {
            val resolution = resolver.resolve(context.rowKey, stored.record.requestId)
            return (resolution as? Resolution.Final)?.stored
        }
        return (journal.read(context.rowKey) as? ReadResult.Found)?.value
    }

    private fun recordedResult(record: RequestRecord): RequestResult {
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
