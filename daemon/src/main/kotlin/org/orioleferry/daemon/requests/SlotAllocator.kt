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

/** Result of waiting for an upstream slot. */
internal sealed interface SlotAcquisition {
    /** The request may run on [slot]. */
    data class Granted(
        val slot: UpstreamSlot,
    ) : SlotAcquisition

    /** The request is refused and has not run. */
    data class Shed(
        val failure: Failure,
    ) : SlotAcquisition
}

private typealias SlotPromise = CompletableDeferred<UpstreamSlot>

/** Grants upstream slots to waiting requests in the order of the [FairScheduler]. Thread-safe. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class SlotAllocator(
    private val clock: Clock,
    maxQueued: Int,
    seed: Long,
    private val peers: RequestPeers,
    private val configuration: () -> Configuration,
) {
    private val scheduler = FairScheduler<SlotPromise>(maxQueued, seed)
    lateinit var pool: UpstreamPool

    /** Waiting and running requests of each class on this instance. */
    fun loads(): Map<JobClassName, ClassLoad> = synchronized(this) { scheduler.loads() }

    /** Waits for a slot for the request, at most until its deadline. */
    suspend fun acquire(context: RequestContext): SlotAcquisition {
        if (!pool.hasLive) return SlotAcquisition.Shed(RequestFailures.noUpstream("no worker is live"))
        val promise: SlotPromise = CompletableDeferred()
        val ticket =
            when (val offer = enqueue(context, promise)) {
                is Offer.Shed -> return SlotAcquisition.Shed(failureOf(offer))
                is Offer.Queued -> offer.ticket
            }
        grantSlots()
        var granted: UpstreamSlot? = null
        try {
            granted = withTimeoutOrNull(context.deadlineAtMs - clock.monotonicMs()) { promise.await() }
        } finally {
            if (granted == null) cancelWaiting(context, ticket)
        }
        return granted?.let { SlotAcquisition.Granted(it) } ?: SlotAcquisition.Shed(RequestFailures.deadline())
    }

    /** Records that a request has returned its slot after [tookMs]. */
    fun recordFinished(
        jobClass: JobClassName,
        tookMs: Long,
    ) {
        synchronized(this) { scheduler.recordFinished(jobClass, tookMs) }
        grantSlots()
    }

    /** Updates the class limits from the load of the other instances, and grants slots of recovered upstreams. */
    suspend fun run() {
        while (true) {
            delay(TICK_MS)
            val classes = configuration().classes.values
            synchronized(this) {
                scheduler.setClassLimits(
                    ClassShares.computeLocalCaps(classes, pool.totalSlots, scheduler.loads(), peers.loads()),
                )
            }
            grantSlots()
        }
    }

    /** Grants slots to waiting requests while upstreams have free ones. */
    fun grantSlots() {
        synchronized(this) {
            while (scheduler.size > 0) {
                val capacity = pool.capacity()
                val slot = pool.tryAcquire() ?: return
                val ticket = scheduler.next(capacity, clock.monotonicMs())
                if (ticket == null) {
                    pool.returnSlot(slot)
                    return
                }
                ticket.item.complete(slot)
            }
        }
    }

    private fun enqueue(
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

    /** Cancels a request that stopped waiting; a slot that was granted at the same time goes to another request. */
    private fun cancelWaiting(
        context: RequestContext,
        ticket: Ticket<SlotPromise>,
    ) {
        synchronized(this) { scheduler.cancel(ticket) }
        // A promise that can still be cancelled was never granted, since it is granted under the lock only.
        if (!ticket.item.isCompleted) return ticket.item.cancel()
        pool.releaseUnused(ticket.item.getCompleted())
        recordFinished(context.jobClass.name, 0)
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
