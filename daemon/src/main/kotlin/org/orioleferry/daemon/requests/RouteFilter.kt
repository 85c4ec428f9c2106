package org.orioleferry.daemon.requests

import kotlinx.coroutines.delay
import org.orioleferry.core.Clock
import org.orioleferry.core.model.WorkerId
import kotlin.math.min
import kotlin.random.Random

/**
 * Tries upstreams until one answers.
 *
 * A request that an upstream certainly did not run goes to another one at no cost to the retry budget. An idempotent
 * request whose attempt failed or got lost is retried while the budget of that upstream lasts. A non-idempotent request
 * is not retried after any other result.
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
            if (!isRepeatable(context, slot, result)) return result
            if (result !is RequestResult.NotRunHere) mayHaveRun = result
            tried += slot.worker
            slot = nextSlot(context, tried) ?: return mayHaveRun ?: exhausted(context)
        }
    }

    private fun isRepeatable(
        context: RequestContext,
        slot: UpstreamSlot,
        result: RequestResult,
    ): Boolean =
        when (result) {
            is RequestResult.NotRunHere -> true
            is RequestResult.Unknown, is RequestResult.FailedThere ->
                context.jobClass.idempotent && slot.entry.budget.tryTake()
            is RequestResult.Answered, is RequestResult.Refused, is RequestResult.Existing -> false
        }

    /** Waits for room on an upstream that was not tried, and after a full round on any. */
    private suspend fun nextSlot(
        context: RequestContext,
        tried: MutableSet<WorkerId>,
    ): UpstreamSlot? {
        var pauseMs = FIRST_PAUSE_MS
        while (clock.monotonicMs() < context.deadlineAtMs - MIN_ATTEMPT_MS) {
            if (!pool.hasLive) return null
            if (!pool.hasOther(tried)) {
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

    private fun exhausted(context: RequestContext): RequestResult =
        RequestResult.Refused(
            if (clock.monotonicMs() >= context.deadlineAtMs - MIN_ATTEMPT_MS) {
                RequestFailures.deadline()
            } else {
                RequestFailures.noUpstream("no worker accepted the request")
            },
        )

    private companion object {
        /** An attempt with less time than this would only end as unknown. */
        const val MIN_ATTEMPT_MS = 5L
        const val FIRST_PAUSE_MS = 10L
        const val MAX_PAUSE_MS = 200L
    }
}
