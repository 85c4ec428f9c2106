package org.orioleferry.daemon.requests

import java.util.concurrent.atomic.AtomicInteger

/** Counts the requests in progress and refuses new ones once it is closed. */
internal class DrainGate {
    private val count = AtomicInteger()

    @Volatile
    private var isClosed = false

    /** Requests that passed the gate and have not ended. */
    val inProgress: Int get() = count.get()

    /** Refuses requests from now on. */
    fun close() {
        isClosed = true
    }

    /** Outer filter: counts a request until it has ended. */
    suspend fun countInProgress(
        context: RequestContext,
        next: RequestHandler,
    ): RequestResult {
        count.incrementAndGet()
        try {
            return next(context)
        } finally {
            count.decrementAndGet()
        }
    }

    /** Inner filter: refuses new work once the gate is closed. Recorded answers are still given to repeats. */
    suspend fun admit(
        context: RequestContext,
        next: RequestHandler,
    ): RequestResult = if (isClosed) RequestResult.Refused(RequestFailures.draining()) else next(context)
}
