package org.orioleferry.daemon.requests

import org.orioleferry.coordination.limits.RetryBudget
import org.orioleferry.core.Clock
import org.orioleferry.core.Failure
import org.orioleferry.platform.ReadResult
import kotlin.coroutines.cancellation.CancellationException

/**
 * Keeps the promises for the key of a non-idempotent request: a repeat gets the recorded outcome, a row that is held
 * when the request was not run becomes `refused`, and a row whose outcome is open goes to the resolver.
 *
 * A refusal states in the detail `scope` what was not run: `key` when the row shows that no call with this key has run,
 * `call` when the row could not be read, so that an earlier call with the same key may have run.
 */
internal class KeyFilter(
    private val journal: IntentJournal,
    private val resolver: Resolver,
    private val repeats: Repeats,
    clock: Clock,
) {
    private val confirmations =
        RetryBudget(clock, successShare = 0.0, perSecond = CONFIRMATIONS_PER_SECOND, burst = CONFIRMATIONS_PER_SECOND)

    suspend fun filter(
        context: RequestContext,
        next: RequestHandler,
    ): RequestResult {
        if (context.jobClass.idempotent) return next(context)
        var expectedVersion = 0L
        repeat(MAX_RUNS_ANEW) {
            val hold = IntentHold()
            hold.expectedVersion = expectedVersion
            val result = attempt(context.copy(hold = hold), hold, next)
            if (result !is RequestResult.Existing) return result
            when (val repeated = repeats.answer(context, result.row)) {
                is Repeated.Ended -> return repeated.result
                is Repeated.RunAnew -> expectedVersion = repeated.version
            }
        }
        return RequestResult.Refused(RequestFailures.noUpstream("the key is contended"))
    }

    private suspend fun attempt(
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

                result is RequestResult.Refused && result.failure.isNotRun -> notRun(context, hold, result.failure)

                else -> result
            }
        } catch (cancellation: CancellationException) {
            hold.attempts.lastOrNull()?.let { resolver.offer(context.rowKey, it, isUnsent = !hold.isSent) }
            throw cancellation
        } finally {
            hold.attempts.forEach(resolver::endDispatch)
        }
    }

    private suspend fun notRun(
        context: RequestContext,
        hold: IntentHold,
        failure: Failure,
    ): RequestResult {
        val held = hold.held ?: return confirm(context, hold, failure)
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

    private suspend fun confirm(
        context: RequestContext,
        hold: IntentHold,
        failure: Failure,
    ): RequestResult {
        if (hold.hasUncertainIntent) {
            hold.attempts.lastOrNull()?.let { resolver.offer(context.rowKey, it, isUnsent = true) }
            return RequestResult.Refused(failure.withScope(SCOPE_CALL))
        }
        val read = if (confirmations.tryTake()) journal.read(context.rowKey) else null
        val stored = (read as? ReadResult.Found ?: return RequestResult.Refused(failure.withScope(SCOPE_CALL))).value
        if (stored == null || stored.record.state == RecordState.REFUSED) {
            return RequestResult.Refused(failure.withScope(SCOPE_KEY))
        }
        return repeats.known(context, stored) ?: repeats.unknown(stored)
    }

    private fun Failure.withScope(scope: String): Failure = copy(details = details + ("scope" to scope))

    internal companion object {
        const val SCOPE_KEY: String = "key"
        const val SCOPE_CALL: String = "call"

        /** Bounds the reads that a flood of refused requests can cause, out of about 2,000 a second for all instances. */
        private const val CONFIRMATIONS_PER_SECOND = 50.0

        /** Calls with the same key on other instances may take the row of a refused request first. */
        private const val MAX_RUNS_ANEW = 3
    }
}
