package org.orioleferry.daemon.requests

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.core.Clock
import org.orioleferry.core.Failure
import org.orioleferry.core.FailureCode

/** Result of waiting for capacity. */
internal sealed interface Turn {
    /** The request may run on [slot]. */
    data class Granted(
        val slot: UpstreamSlot,
    ) : Turn

    /** The request is refused and has not run. */
    data class Shed(
        val failure: Failure,
    ) : Turn
}

/** Hands out upstream slots to waiting requests. */
internal class Sharer(
    private val clock: Clock,
    private val maxQueued: Int,
) {
    private val waiting = ArrayDeque<CompletableDeferred<UpstreamSlot>>()
    lateinit var pool: UpstreamPool

    /** Waits for the turn of the request, at most until its deadline. */
    suspend fun acquire(context: RequestContext): Turn {
        if (!pool.hasLive) return Turn.Shed(RequestFailures.noUpstream("no worker is live"))
        val ticket = CompletableDeferred<UpstreamSlot>()
        synchronized(this) {
            if (waiting.size >= maxQueued) {
                return Turn.Shed(RequestFailures.notRun(FailureCode.QUEUE_FULL, "the queue is full", 1_000))
            }
            waiting.addLast(ticket)
        }
        pump()
        try {
            val slot = withTimeoutOrNull(context.deadlineAtMs - clock.monotonicMs()) { ticket.await() }
            if (slot != null) return Turn.Granted(slot)
        } finally {
            synchronized(this) { waiting.remove(ticket) }
            if (!ticket.isCompleted) ticket.cancel()
        }
        return Turn.Shed(RequestFailures.deadline())
    }

    /** Grants turns to requests that wait for an upstream to recover, which frees no slot. */
    suspend fun run() {
        while (true) {
            delay(PUMP_MS)
            pump()
        }
    }

    /** Grants turns while upstreams have room. */
    fun pump() {
        while (synchronized(this) { waiting.isNotEmpty() }) {
            val slot = pool.tryAcquire() ?: return
            val ticket = synchronized(this) { waiting.removeFirstOrNull() }
            if (ticket == null || !ticket.complete(slot)) {
                pool.releaseUnused(slot)
                return
            }
        }
    }

    private companion object {
        const val PUMP_MS = 50L
    }
}
