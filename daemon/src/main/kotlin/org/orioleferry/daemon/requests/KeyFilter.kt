package org.orioleferry.daemon.requests

import org.orioleferry.coordination.limits.RetryBudget
import org.orioleferry.core.Clock
import org.orioleferry.core.Failure
import org.orioleferry.platform.ReadResult
import kotlin.coroutines.cancellation.CancellationException

/**
 * Enforces the guarantees for the key of a non-idempotent request: a repeat gets the recorded outcome, the row held by
 * a request that was not run becomes `refused`, and a row whose outcome is open is passed to the resolver.
 *
 * A refusal states in the detail `scope` what was not run: `key` when the row shows that no call with this key has run,
 * `call` when the row could not be read, so that an earlier call with the same key may have run.
 */
internal class KeyFilter(
    private val journal: IntentJournal,
    private val resolver: Resolver,
    private val repeatHandler: RepeatHandler,
    clock: Clock,
) {
    private val confirmationReads =
        RetryBudget(clock, successShare = 0.0, perSecond = READS_PER_SECOND, burst = READS_PER_SECOND)

    suspend fun filter(
        context: RequestContext,
        next: RequestHandler,
    ): RequestResult {
        if (context.jobClass.idempotent) return next(context)
        var expectedVersion = 0L
        repeat(MAX_RUNS) {
            val hold = IntentHold()
            hold.expectedVersion = expectedVersion
            val result = runAttempt(context.copy(hold = hold), hold, next)
            if (result !is RequestResult.Existing) return result
            when (val repeated = repeatHandler.answer(context, result.row)) {
                is RepeatOutcome.Ended -> return repeated.result
                is RepeatOutcome.RunAgain -> expectedVersion = repeated.version
            }
        }
        return RequestResult.Refused(RequestFailures.noUpstream("the key is contended"))
    }

    private suspend fun runAttempt(
        context: RequestContext,
        hold: IntentHold,
        next: RequestHandler,
    ): RequestResult {
        try {
            val result = next(context)
            return when {
                result is RequestResult.Unknown -> {
                    val requestId = hold.held?.record?.requestId
                    requestId?.let { resolver.offer(context.rowKey, it) }
                    RequestResult.Refused(RequestFailures.outcomeUnknown(requestId, result.reason))
                }

                result is RequestResult.Refused && result.failure.isNotRun ->
                    recordNotRun(context, hold, result.failure)

                else -> result
            }
        } catch (cancellation: CancellationException) {
            hold.attempts.lastOrNull()?.let { resolver.offer(context.rowKey, it, isUnsent = !hold.isSent) }
            throw cancellation
        } finally {
            hold.attempts.forEach(resolver::endDispatch)
        }
    }

    private suspend fun recordNotRun(
        context: RequestContext,
        hold: IntentHold,
        failure: Failure,
    ): RequestResult {
        val held = hold.held ?: return confirmNotRun(context, hold, failure)
        return when (val write = journal.finish(held.record.refused(failure.message), context.rowKey, held.version)) {
            is WriteResult.Written -> RequestResult.Refused(failure.withScope(SCOPE_KEY))
            is WriteResult.Conflict -> write.row?.let(RequestResult::Existing) ?: RequestResult.Refused(failure)
            WriteResult.Unavailable, WriteResult.Unknown -> {
                // Another instance may have resolved the row and run a later call with the key in the meantime.
                resolver.offer(context.rowKey, held.record.requestId, isUnsent = true)
                RequestResult.Refused(failure.withScope(SCOPE_CALL))
            }
        }
    }

    private suspend fun confirmNotRun(
        context: RequestContext,
        hold: IntentHold,
        failure: Failure,
    ): RequestResult {
        if (hold.hasUncertainIntent) {
            hold.attempts.lastOrNull()?.let { resolver.offer(context.rowKey, it, isUnsent = true) }
            return RequestResult.Refused(failure.withScope(SCOPE_CALL))
        }
        val read = if (confirmationReads.tryAcquire()) journal.read(context.rowKey) else null
        val stored = (read as? ReadResult.Found ?: return RequestResult.Refused(failure.withScope(SCOPE_CALL))).value
        if (stored == null || stored.record.state == RecordState.REFUSED) {
            return RequestResult.Refused(failure.withScope(SCOPE_KEY))
        }
        return repeatHandler.knownResult(context, stored) ?: repeatHandler.unknownResult(stored)
    }

    private fun Failure.withScope(scope: String): Failure = copy(details = details + ("scope" to scope))

    internal companion object {
        const val SCOPE_KEY: String = "key"
        const val SCOPE_CALL: String = "call"

        /**
         * Limits the store reads that a flood of refused requests can cause; all instances together have about 2,000
         * reads a second.
         */
        private const val READS_PER_SECOND = 50.0

        /**
         * Maximum runs of one call, since calls with the same key on other instances may take the row of a refused
         * request first.
         */
        private const val MAX_RUNS = 3
    }
}
