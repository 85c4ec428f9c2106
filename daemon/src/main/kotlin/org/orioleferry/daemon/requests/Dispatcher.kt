package org.orioleferry.daemon.requests

import org.orioleferry.core.Clock
import org.orioleferry.core.api.RequestAnswer
import org.orioleferry.core.event.EventSink
import org.orioleferry.core.event.EventType
import org.orioleferry.platform.DispatchResult
import org.orioleferry.platform.NotRunReason
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.WorkerRequest
import kotlin.coroutines.cancellation.CancellationException
import kotlin.math.min

/** Last step of the filter chain: makes one attempt on one upstream, after an intent row for a non-idempotent class. */
internal class Dispatcher(
    private val journal: IntentJournal,
    private val resolver: Resolver,
    private val pool: UpstreamPool,
    private val clock: Clock,
    private val settings: RequestSettings,
    private val newRequestId: () -> String,
    private val events: EventSink,
) {
    suspend fun dispatch(context: RequestContext): RequestResult =
        if (context.jobClass.idempotent) {
            dispatchUnrecorded(
                context,
            )
        } else {
            dispatchRecorded(context, requireNotNull(context.hold))
        }

    private suspend fun dispatchUnrecorded(context: RequestContext): RequestResult {
        val requestId = newRequestId()
        return when (val result = send(context, requestId, remainingMs(context))) {
            is DispatchResult.Answered -> answeredResult(context, requestId, result.answer.result)
            is DispatchResult.Failed -> RequestResult.FailedOnUpstream(result.reason)
            is DispatchResult.NotRun -> RequestResult.NotRunOnUpstream(result.reason)
            is DispatchResult.Unknown -> RequestResult.Unknown(result.reason)
        }
    }

    private suspend fun dispatchRecorded(
        context: RequestContext,
        hold: IntentHold,
    ): RequestResult {
        val record = intentOf(context)
        hold.attempts += record.requestId
        resolver.beginDispatch(record.requestId)
        val write =
            journal.write(
                record,
                context.rowKey,
                hold.expectedVersion,
                min(remainingMs(context), MAX_INTENT_WRITE_MS),
            )
        when (write) {
            is WriteResult.Written -> hold.hold(record, write.version)
            is WriteResult.Conflict -> return releaseToExisting(context, hold, write.row)
            WriteResult.Unavailable -> return RequestResult.Refused(RequestFailures.storeUnavailable())
            WriteResult.Unknown -> {
                hold.hasUncertainIntent = true
                return RequestResult.Refused(RequestFailures.storeUnavailable())
            }
        }
        val budgetMs = remainingMs(context) - finishReserveMs(context)
        if (budgetMs <= 0) return RequestResult.Refused(RequestFailures.deadline())
        hold.isSent = true
        return handleResult(context, hold, record, send(context, record.requestId, budgetMs))
    }

    private suspend fun handleResult(
        context: RequestContext,
        hold: IntentHold,
        record: RequestRecord,
        result: DispatchResult,
    ): RequestResult =
        when (result) {
            is DispatchResult.Answered -> {
                journal.finish(record.done(result.answer.result), context.rowKey, hold.expectedVersion)
                answeredResult(context, record.requestId, result.answer.result)
            }

            is DispatchResult.Failed -> {
                journal.finish(record.failed(result.reason), context.rowKey, hold.expectedVersion)
                RequestResult.Refused(RequestFailures.upstreamFailed(result.reason))
            }

            is DispatchResult.NotRun -> {
                hold.isSent = false
                if (result.reason == NotRunReason.SEALED) {
                    releaseToExisting(context, hold, null)
                } else {
                    RequestResult.NotRunOnUpstream(result.reason)
                }
            }

            is DispatchResult.Unknown -> resolve(context, hold, record, result.reason)
        }

    /** Asks the worker for the outcome of the request until the deadline of the caller. */
    private suspend fun resolve(
        context: RequestContext,
        hold: IntentHold,
        record: RequestRecord,
        reason: String,
    ): RequestResult {
        val resolution = resolver.resolveUntil(context.rowKey, record.requestId, context.deadlineAtMs)
        val stored = (resolution as? Resolution.Final)?.stored ?: return RequestResult.Unknown(reason)
        val isOwn = stored.record.requestId == record.requestId
        hold.release(stored.version)
        return if (isOwn && stored.record.state == RecordState.REFUSED) {
            RequestResult.NotRunOnUpstream(NotRunReason.SEALED)
        } else {
            RequestResult.Existing(stored)
        }
    }

    /** Releases a row that another instance has changed, and returns its current value. */
    private suspend fun releaseToExisting(
        context: RequestContext,
        hold: IntentHold,
        row: StoredRecord?,
    ): RequestResult {
        val known = row ?: (journal.read(context.rowKey) as? ReadResult.Found)?.value
        val requestId = hold.held?.record?.requestId
        hold.release(known?.version ?: 0)
        if (known != null) return RequestResult.Existing(known)
        return RequestResult.Refused(RequestFailures.outcomeUnknown(requestId, "the record cannot be read"))
    }

    private suspend fun send(
        context: RequestContext,
        requestId: String,
        deadlineMs: Long,
    ): DispatchResult {
        val slot = context.requiredSlot
        val body = context.body
        val request = WorkerRequest(requestId, body.key, body.jobClass.value, body.payload, body.workMs)
        events(EventType.REQUEST_DISPATCHED, attributesOf(context, requestId))
        val result =
            try {
                checkRequestId(requestId, slot.client.dispatch(request, deadlineMs))
            } catch (cancellation: CancellationException) {
                pool.release(slot, DispatchResult.Unknown("the caller left"))
                throw cancellation
            }
        pool.release(slot, result)
        return result
    }

    /** Turns an answer that carries the identifier of another request into an unknown outcome. */
    private fun checkRequestId(
        requestId: String,
        result: DispatchResult,
    ): DispatchResult =
        if (result is DispatchResult.Answered && result.answer.requestId != requestId) {
            DispatchResult.Unknown("the worker answered another request")
        } else {
            result
        }

    private fun answeredResult(
        context: RequestContext,
        requestId: String,
        result: String,
    ): RequestResult =
        RequestResult.Answered(RequestAnswer(requestId, OUTCOME_DONE, result, context.requiredSlot.worker))

    private fun intentOf(context: RequestContext): RequestRecord =
        RequestRecord(
            requestId = newRequestId(),
            state = RecordState.INTENT,
            workspace = context.body.workspace,
            jobClass = context.body.jobClass,
            worker = context.requiredSlot.worker,
            workerUrl = context.requiredSlot.baseUrl,
            instance = settings.instance,
            digest = RequestRecord.digestOf(context.body),
            createdWallMs = clock.wallMs(),
        )

    private fun remainingMs(context: RequestContext): Long = context.deadlineAtMs - clock.monotonicMs()

    /** Milliseconds taken off the worker's deadline, so that the final write still fits into the caller's deadline. */
    private fun finishReserveMs(context: RequestContext): Long =
        min(settings.finishWriteMs, remainingMs(context) / RESERVE_DIVISOR)

    private fun attributesOf(
        context: RequestContext,
        requestId: String,
    ) = mapOf(
        "request" to requestId,
        "workspace" to context.body.workspace.value,
        "worker" to context.requiredSlot.worker.value,
    )

    internal companion object {
        const val OUTCOME_DONE: String = "done"

        /** Maximum wait for an intent write; a slower one is refused, so that callers learn of a store outage early. */
        const val MAX_INTENT_WRITE_MS: Long = 2_500

        private const val RESERVE_DIVISOR = 5
    }
}
