package org.orioleferry.coordination.store

import org.orioleferry.core.Clock
import org.orioleferry.core.event.EventSink
import org.orioleferry.core.event.EventType
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.Row
import org.orioleferry.platform.TableOperation
import org.orioleferry.platform.TableService
import kotlin.random.Random

/**
 * Limits of the calls to a store that does not answer.
 *
 * @property retryMs shortest time between two calls of one instance during an outage.
 * @property jitterMs greatest random addition to [retryMs], so that instances do not retry at the same moment.
 * @property outageAfterMs time without a successful call after which failures count as an outage. It is shorter than
 * the TTL of a lease, since a single lost call has to be repeated before the lease lapses.
 */
public data class CircuitBreakerSettings(
    val retryMs: Long = 1_000,
    val jitterMs: Long = 500,
    val outageAfterMs: Long = 1_000,
)

/**
 * Circuit breaker around a [TableService]: during an outage of the store one call passes per retry time, and every
 * other call is refused at once as unavailable without being sent.
 *
 * All users of the store in one process share one circuit breaker.
 */
public class CircuitBreakerTableService(
    private val store: TableService,
    private val clock: Clock,
    private val random: Random,
    private val settings: CircuitBreakerSettings = CircuitBreakerSettings(),
    private val events: EventSink = { _, _ -> },
) : TableService {
    private val lock = Any()
    private var failures = 0
    private var lastSuccessMs: Long? = null
    private var nextRetryMs = 0L
    private var isDown = false

    /** Whether the store is considered down. */
    public val isOutage: Boolean get() = synchronized(lock) { isDown }

    override suspend fun read(
        table: String,
        key: String,
    ): ReadResult<Row?> = guardedRead { store.read(table, key) }

    override suspend fun scan(
        table: String,
        prefix: String,
        after: String?,
        limit: Int,
    ): ReadResult<List<Row>> = guardedRead { store.scan(table, prefix, after, limit) }

    override suspend fun commit(operations: List<TableOperation>): CommitResult {
        if (!mayCall()) return CommitResult.Unavailable(REFUSED)
        val result = store.commit(operations)
        when (result) {
            is CommitResult.Committed, is CommitResult.Conflicted -> recordSuccess()
            is CommitResult.Unavailable -> recordFailure(result.reason)
            is CommitResult.Unknown -> recordFailure(result.reason)
        }
        return result
    }

    private suspend fun <T> guardedRead(call: suspend () -> ReadResult<T>): ReadResult<T> {
        if (!mayCall()) return ReadResult.Unavailable(REFUSED)
        val result = call()
        when (result) {
            is ReadResult.Found -> recordSuccess()
            is ReadResult.Unavailable -> recordFailure(result.reason)
        }
        return result
    }

    private fun mayCall(): Boolean =
        synchronized(lock) {
            val now = clock.monotonicMs()
            if (isDown && now < nextRetryMs) return false
            if (isDown) scheduleRetry(now)
            true
        }

    private fun recordSuccess() {
        val hasRecovered =
            synchronized(lock) {
                failures = 0
                lastSuccessMs = clock.monotonicMs()
                isDown.also { isDown = false }
            }
        if (hasRecovered) events(EventType.STORE_RECOVERED, emptyMap())
    }

    private fun recordFailure(reason: String) {
        val isNewOutage =
            synchronized(lock) {
                val now = clock.monotonicMs()
                failures++
                val silentMs = lastSuccessMs?.let { now - it } ?: Long.MAX_VALUE
                val isOutage = failures >= MIN_FAILURES && silentMs >= settings.outageAfterMs
                if (isOutage && !isDown) scheduleRetry(now)
                (isOutage && !isDown).also { isDown = isDown || isOutage }
            }
        if (isNewOutage) events(EventType.STORE_UNAVAILABLE, mapOf("reason" to reason))
    }

    private fun scheduleRetry(now: Long) {
        nextRetryMs = now + settings.retryMs + random.nextLong(settings.jitterMs + 1)
    }

    private companion object {
        const val MIN_FAILURES = 2
        const val REFUSED = "the store is down and the next try is not due"
    }
}
