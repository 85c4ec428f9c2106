package org.orioleferry.daemon.requests

import kotlinx.coroutines.delay
import org.orioleferry.core.Clock
import org.orioleferry.core.model.WorkerId
import kotlin.math.min
import kotlin.random.Random

/**
 * Sends a request to one upstream after the other until one answers.
 *
 * A request that an upstream certainly did not run goes to another one without using the retry budget. An idempotent
 * request whose attempt failed or has an unknown outcome is retried while the retry budget of that upstream allows. A
 * non-idempotent request is not retried after any other result.
 */
internal class RouteFilter(
    private val pool: UpstreamPool,
    private val clock: Clock,
    private val random: Random,
) {
    suspend fun filter(
        context: RequestContext,
        next: RequestHandler,
    ): RequestResult {
        var slot = context.requiredSlot
        val tried = mutableSetOf<WorkerId>()
        var mayHaveRun: RequestResult? = null
        while (true) {
            val result =
                try {
                    next(context.copy(slot = slot))
                } finally {
                    pool.releaseUnused(slot)
                }
            if (!isRetryable(context, slot, result)) return result
            if (result !is RequestResult.NotRunOnUpstream) mayHaveRun = result
            tried += slot.worker
            slot = nextSlot(context, tried) ?: return mayHaveRun ?: exhaustedResult(context)
        }
    }

    private fun isRetryable(
        context: RequestContext,
        slot: UpstreamSlot,
        result: RequestResult,
    ): Boolean =
        when (result) {
            is RequestResult.NotRunOnUpstream -> true
            is RequestResult.Unknown, is RequestResult.FailedOnUpstream ->
                context.jobClass.idempotent && slot.entry.budget.tryAcquire()
            is RequestResult.Answered, is RequestResult.Refused, is RequestResult.Existing -> false
        }

    /** Waits for a free slot on an upstream that was not tried yet, or on any one once all were tried. */
    private suspend fun nextSlot(
        context: RequestContext,
        tried: MutableSet<WorkerId>,
    ): UpstreamSlot? {
        var pauseMs = FIRST_PAUSE_MS
        while (clock.monotonicMs() < context.deadlineAtMs - MIN_ATTEMPT_MS) {
            if (!pool.hasLive) return null
            if (!pool.hasOtherThan(tried)) {
                tried.clear()
                delay(pauseMs / 2 + random.nextLong(pauseMs / 2 + 1))
                pauseMs = min(MAX_PAUSE_MS, pauseMs * 2)
            }
            pool.tryAcquire(tried)?.let { return it }
            delay(pauseMs / 2 + random.nextLong(pauseMs / 2 + 1))
            pauseMs = min(MAX_PAUSE_MS, pauseMs * 2)
        }
        return null
    }

    private fun exhaustedResult(context: RequestContext): RequestResult =
        RequestResult.Refused(
            if (clock.monotonicMs() >= context.deadlineAtMs - MIN_ATTEMPT_MS) {
                RequestFailures.deadline()
            } else {
                RequestFailures.noUpstream("no worker accepted the request")
            },
        )

    private companion object {
        /** Minimum time for an attempt; one with less time would only end with an unknown outcome. */
        const val MIN_ATTEMPT_MS = 5L
        const val FIRST_PAUSE_MS = 10L
        const val MAX_PAUSE_MS = 200L
    }
}
