package org.orioleferry.daemon.requests

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.core.Clock
import org.orioleferry.core.Failure
import org.orioleferry.core.FailureCode
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.sharing.ClassLoad
import org.orioleferry.core.sharing.ClassShares
import org.orioleferry.core.sharing.FairScheduler
import org.orioleferry.core.sharing.Offer
import org.orioleferry.core.sharing.ShedReason
import org.orioleferry.core.sharing.Ticket

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

private typealias SlotPromise = CompletableDeferred<UpstreamSlot>

/** Hands out upstream slots to waiting requests in the order of the [FairScheduler]. Thread-safe. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class Sharer(
    private val clock: Clock,
    maxQueued: Int,
    seed: Long,
    private val peers: RequestPeers,
    private val configuration: () -> Configuration,
) {
    private val scheduler = FairScheduler<SlotPromise>(maxQueued, seed)
    lateinit var pool: UpstreamPool

    /** What waits and runs in each class on this instance. */
    fun loads(): Map<JobClassName, ClassLoad> = synchronized(this) { scheduler.loads() }

    /** Waits for the turn of the request, at most until its deadline. */
    suspend fun acquire(context: RequestContext): Turn {
        if (!pool.hasLive) return Turn.Shed(RequestFailures.noUpstream("no worker is live"))
        val promise: SlotPromise = CompletableDeferred()
        val ticket =
            when (val offer = offer(context, promise)) {
                is Offer.Shed -> return Turn.Shed(failureOf(offer))
                is Offer.Queued -> offer.ticket
            }
        pump()
        var granted: UpstreamSlot? = null
        try {
            granted = withTimeoutOrNull(context.deadlineAtMs - clock.monotonicMs()) { promise.await() }
        } finally {
            if (granted == null) abandon(context, ticket)
        }
        return granted?.let { Turn.Granted(it) } ?: Turn.Shed(RequestFailures.deadline())
    }

    /** Notes that a request has given back its slot. */
    fun finished(
        jobClass: JobClassName,
        tookMs: Long,
    ) {
        synchronized(this) { scheduler.finished(jobClass, tookMs) }
        pump()
    }

    /** Follows the load of the other instances, and grants turns when an upstream has recovered. */
    suspend fun run() {
        while (true) {
            delay(TICK_MS)
            val classes = configuration().classes.values
            synchronized(this) {
                scheduler.limit(ClassShares.localCaps(classes, pool.slotsOfAll, scheduler.loads(), peers.loads()))
            }
            pump()
        }
    }

    /** Grants turns while upstreams have room. */
    fun pump() {
        synchronized(this) {
            while (scheduler.size > 0) {
                val capacity = pool.capacity()
                val slot = pool.tryAcquire() ?: return
                val ticket = scheduler.next(capacity, clock.monotonicMs())
                if (ticket == null) {
                    pool.giveBack(slot)
                    return
                }
                ticket.item.complete(slot)
            }
        }
    }

    private fun offer(
        context: RequestContext,
        promise: SlotPromise,
    ): Offer<SlotPromise> =
        synchronized(this) {
            scheduler.offer(
                context.jobClass,
                context.workspace,
                context.body.caller,
                context.deadlineAtMs,
                promise,
                clock.monotonicMs(),
            )
        }

    /** A turn that was granted at the very moment at which its request gave up goes to another one. */
    private fun abandon(
        context: RequestContext,
        ticket: Ticket<SlotPromise>,
    ) {
        synchronized(this) { scheduler.cancel(ticket) }
        // A promise that can still be cancelled was never granted, since it is granted under the lock only.
        if (!ticket.item.isCompleted) return ticket.item.cancel()
        pool.releaseUnused(ticket.item.getCompleted())
        finished(context.jobClass.name, 0)
    }

    private fun failureOf(shed: Offer.Shed): Failure =
        when (shed.reason) {
            ShedReason.FULL ->
                RequestFailures.notRun(FailureCode.QUEUE_FULL, "the queue of the class is full", shed.retryAfterMs)

            ShedReason.TOO_LATE -> RequestFailures.deadline(shed.retryAfterMs)
        }

    private companion object {
        const val TICK_MS = 100L
    }
}
