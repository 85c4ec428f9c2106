package org.orioleferry.scheduler.owner

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.orioleferry.core.Clock
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.SchedulerSettings
import org.orioleferry.scheduler.ageOf
import org.orioleferry.scheduler.now
import org.orioleferry.scheduler.store.CommitResult
import org.orioleferry.scheduler.store.FeedResult
import org.orioleferry.scheduler.store.RowCondition
import org.orioleferry.scheduler.store.RowStore
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.RowWrite
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.store.ScanResult
import org.orioleferry.scheduler.store.StoredRow
import org.orioleferry.scheduler.store.read

/**
 * Elects one owner for the installation by compare-and-set on the lease row.
 *
 * An instance that is not the owner follows the row through the feed and acquires it when it has not changed for the
 * lease's duration. [lead] runs while the ownership lasts and is cancelled when it ends.
 */
public class Election(
    private val store: RowStore,
    private val clock: Clock,
    private val settings: SchedulerSettings,
    private val log: DecisionLog,
    private val lead: suspend (Ownership) -> Unit,
) {
    private var isResigning = false
    private val isCloseObserver = Math.floorMod(settings.instance.hashCode(), CLOSE_OBSERVER_EACH) == 0

    /** The ownership while this instance has it. */
    public var current: Ownership? = null
        private set
    private var leaseVersion = 0L

    /** Takes part until cancelled. */
    public suspend fun run() {
        while (true) {
            if (isResigning) {
                delay(settings.leaseTtlMs)
                continue
            }
            val row = awaitFree()
            val ownership = acquire(row) ?: continue
            val isLed = hold(ownership)
            // Another instance may have a better path to the store.
            if (!isLed) release(ownership).also { delay(STEP_BACK_MS) }
        }
    }

    /** Gives the ownership up, so that another instance takes over at once, and takes no further part. */
    public suspend fun resign() {
        isResigning = true
        release(current ?: return)
    }

    private suspend fun release(ownership: Ownership) {
        ownership.isLost = true
        val value = LeaseValue("", ownership.epoch, 0)
        val result = store.commit(leaseWrite(leaseVersion, value))
        log.record(SchedulerEvent.OWNERSHIP_RELEASED, settings.instance, "epoch" to ownership.epoch, "result" to result)
    }

    private suspend fun awaitFree(): StoredRow? {
        var known: StoredRow? = null
        var changedAt = clock.monotonicMs()
        var wasAway = true
        var after = -1L
        while (true) {
            if (after < 0) {
                val scan = store.read(Rows.lease)
                if (scan !is ScanResult.Rows) {
                    wasAway = true
                    delay(RETRY_MS)
                    continue
                }
                val row = scan.rows.firstOrNull()
                if (row?.version != known?.version) changedAt = clock.monotonicMs()
                // The owner could not renew during an outage either; it gets the time for one renewal.
                if (wasAway &&
                    known != null
                ) {
                    changedAt =
                        maxOf(changedAt, clock.monotonicMs() - settings.leaseTtlMs + RETURN_GRACE_MS)
                }
                wasAway = false
                known = row
                after = scan.version
            }
            val value = known?.let { decode(it) }
            val freeAtMs =
                when {
                    value == null || value.holder.isEmpty() -> changedAt + settings.candidateDelayMs
                    // An earlier life of this instance.
                    value.holder == settings.instance -> changedAt + settings.candidateDelayMs
                    else -> changedAt + ttlOf(value) + rankDelayMs(value.epoch) + settings.candidateDelayMs
                }
            val remaining = freeAtMs - clock.monotonicMs()
            if (remaining <= 0) return known
            when (val feed = store.feed(Rows.OWNER, after, minOf(remaining, FEED_WAIT_MS).toInt())) {
                is FeedResult.Changes -> {
                    after = feed.version
                    feed.rows.lastOrNull { it.key == Rows.lease }?.let {
                        known = it
                        changedAt = clock.monotonicMs()
                        // A part of the instances sees every renewal; the others act only when those do not.
                        if (!isCloseObserver && !isResigned(it)) delay(SEEN_PAUSE_MS)
                    }
                }
                FeedResult.HistoryLost -> after = -1
                is FeedResult.Unavailable -> {
                    wasAway = true
                    after = -1
                    delay(RETRY_MS)
                }
            }
        }
    }

    private fun isResigned(row: StoredRow): Boolean = decode(row)?.holder.isNullOrEmpty()

    private fun ttlOf(value: LeaseValue): Long = value.ttlMs.coerceIn(settings.leaseTtlMs, settings.longestTtlMs)

    // Candidates act one after another, so that most do not lose a race.
    private fun rankDelayMs(epoch: Long): Long =
        Math.floorMod((settings.instance + epoch).hashCode(), RANKS) * RANK_STEP_MS

    private suspend fun acquire(row: StoredRow?): Ownership? {
        val epoch = (row?.let { decode(it) }?.epoch ?: 0) + 1
        val sentAt = clock.now()
        val value = LeaseValue(settings.instance, epoch, 0, settings.leaseTtlMs)
        val write = leaseWrite(row?.version ?: 0, value)
        val fence = RowWrite(Rows.fence, "$epoch ${settings.instance}")
        val version =
            when (val result = store.commit(write.copy(writes = write.writes + fence))) {
                is CommitResult.Committed -> result.version
                is CommitResult.Conflicted -> ownVersion(result, epoch)
                is CommitResult.Unavailable, is CommitResult.Unknown -> {
                    delay(RETRY_MS)
                    null
                }
            } ?: return null
        leaseVersion = version
        log.record(SchedulerEvent.OWNERSHIP_ACQUIRED, settings.instance, "epoch" to epoch, "version" to version)
        return Ownership(epoch, version, clock, settings, sentAt)
    }

    /** Version of the lease row if it holds our own earlier write whose answer was lost. */
    private fun ownVersion(
        conflict: CommitResult.Conflicted,
        epoch: Long,
    ): Long? {
        val row = conflict.rows.firstOrNull { it.key == Rows.lease } ?: return null
        val value = decode(row) ?: return null
        return row.version.takeIf { value.holder == settings.instance && value.epoch == epoch }
    }

    /** Returns whether the ownership ended for another reason than that [lead] could not begin. */
    private suspend fun hold(ownership: Ownership): Boolean {
        current = ownership
        var isLed = true
        try {
            coroutineScope {
                val renewing = launch { renewUntilLost(ownership) }
                val work =
                    launch {
                        lead(ownership)
                        isLed = ownership.isLost
                        renewing.cancel()
                    }
                renewing.join()
                work.cancel()
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.record(
                SchedulerEvent.INTERNAL_ERROR,
                settings.instance,
                "in" to "term",
                "error" to e.stackTraceToString(),
            )
        } finally {
            ownership.isLost = true
            current = null
            log.record(SchedulerEvent.OWNERSHIP_LOST, settings.instance, "epoch" to ownership.epoch)
        }
        return isLed
    }

    private suspend fun renewUntilLost(ownership: Ownership) {
        var renewals = 0L
        var pauseMs = settings.renewMs
        var latencyMs = 0L
        while (true) {
            delay(pauseMs)
            if (ownership.isLost || !ownership.mayHold) return
            val sentAt = clock.now()
            val ttlMs = (settings.leaseTtlMs + latencyMs * LATENCY_FACTOR).coerceAtMost(settings.longestTtlMs)
            val value = LeaseValue(settings.instance, ownership.epoch, ++renewals, ttlMs)
            val result = store.commit(leaseWrite(leaseVersion, value))
            val version =
                when (result) {
                    is CommitResult.Committed -> result.version
                    is CommitResult.Conflicted -> ownVersion(result, ownership.epoch) ?: return
                    is CommitResult.Unavailable, is CommitResult.Unknown -> null
                }
            if (version == null) {
                log.record(
                    SchedulerEvent.RENEWAL_FAILED,
                    settings.instance,
                    "epoch" to ownership.epoch,
                    "result" to result,
                )
                pauseMs = RETRY_MS
            } else {
                leaseVersion = version
                // After a conflict with our own earlier write only that write's time is certain; the next renewal counts.
                if (result is CommitResult.Committed) {
                    ownership.renewedAt = sentAt
                    ownership.ttlMs = ttlMs
                    latencyMs = clock.ageOf(sentAt)
                }
                pauseMs = if (result is CommitResult.Committed) settings.renewMs else 0
            }
        }
    }

    private fun leaseWrite(
        version: Long,
        value: LeaseValue,
    ) = RowTransaction(
        conditions = listOf(RowCondition(Rows.lease, version)),
        writes = listOf(RowWrite(Rows.lease, Rows.json.encodeToString(LeaseValue.serializer(), value))),
    )

    private fun decode(row: StoredRow): LeaseValue? =
        try {
            Rows.json.decodeFromString(LeaseValue.serializer(), row.value)
        } catch (e: IllegalArgumentException) {
            log.record(SchedulerEvent.JOB_UNREADABLE, row.key.key, "value" to row.value)
            null
        }

    private companion object {
        // Several tries within the time that a renewal may be late.
        const val RETRY_MS = 150L

        // One renewal period and a round trip.
        const val RETURN_GRACE_MS = 1_000L

        // A silent connection to the store is noticed within this time.
        const val FEED_WAIT_MS = 2_000L

        // Below half of the lease, so that each instance looks several times within it.
        const val SEEN_PAUSE_MS = 800L

        // Two or three of the smallest installations, and a third of the looks at the largest.
        const val CLOSE_OBSERVER_EACH = 3
        const val RANKS = 8

        // Two terms of an instance that cannot load would otherwise follow one another.
        const val STEP_BACK_MS = 3_000L

        // A renewal and the notice of it are both late by the latency of the store.
        const val LATENCY_FACTOR = 2
        const val RANK_STEP_MS = 60L
    }
}
