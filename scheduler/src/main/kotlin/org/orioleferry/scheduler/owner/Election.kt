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
import org.orioleferry.scheduler.model.LoadForecast
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
 * Elects a single owner for the installation by compare-and-set on the lease row.
 *
 * Other instances follow the row through the feed and try to acquire it once it has not changed for the lease's time to
 * live. [lead] runs while this instance is the owner and is cancelled when the ownership ends.
 */
public class Election(
    private val store: RowStore,
    private val clock: Clock,
    private val settings: SchedulerSettings,
    private val log: DecisionLog,
    private val lead: suspend (Ownership) -> Unit,
) {
    private var isResigning = false
    private val isPromptFollower = Math.floorMod(settings.instance.hashCode(), INSTANCES_PER_PROMPT_FOLLOWER) == 0

    /** Ownership held by this instance, or null. */
    public var current: Ownership? = null
        private set

    /** Version of the lease row after this instance's last confirmed write; the condition of its next write. */
    private var leaseVersion = 0L

    /** Value of the lease row as last read while another instance holds it, and the monotonic time of the read. */
    private var observedLease: LeaseValue? = null
    private var observedAtMs = 0L
    private val forecasts = ForecastObserver(clock)

    /**
     * Whether [workspace] may add no open work, as the owner has last reported. False when nothing was heard of an owner
     * for a while.
     */
    public fun isSaturated(workspace: String): Boolean {
        current?.let { return workspace in it.saturatedWorkspaces }
        if (clock.monotonicMs() - observedAtMs > settings.maxLeaseTtlMs) return false
        return observedLease?.let { workspace in it.saturatedWorkspaces } ?: false
    }

    /** Returns the owner's forecast of the waits of new work with an upper bound of its age, or null without one. */
    public fun forecast(): LoadForecast? {
        val ownership = current ?: return forecasts.current()
        return ownership.forecast?.at(clock)
    }

    /**
     * Address at which the owner that this instance last read about answers callers, or null when it is this instance, is
     * not known, or was read more than [MAX_ADDRESS_AGE_MS] ago.
     */
    public val ownerAddress: String? get() {
        if (current != null || clock.monotonicMs() - observedAtMs > MAX_ADDRESS_AGE_MS) return null
        val lease = observedLease?.takeIf { it.holder != settings.instance } ?: return null
        return lease.callerAddress.ifEmpty { null }
    }

    /** Takes part in elections until cancelled. */
    public suspend fun run() {
        while (true) {
            if (isResigning) {
                delay(settings.leaseTtlMs)
                continue
            }
            val row = awaitAcquirableLease()
            if (isResigning) continue
            val ownership = acquire(row) ?: continue
            if (isResigning) {
                release(ownership)
                continue
            }
            val hasLed = hold(ownership)
            // Another instance may have a better path to the store.
            if (!hasLed) release(ownership).also { delay(REELECTION_DELAY_MS) }
        }
    }

    /** Releases the ownership, so that another instance takes over at once, and takes part in no further election. */
    public suspend fun resign() {
        isResigning = true
        release(current ?: return)
    }

    private suspend fun release(ownership: Ownership) {
        ownership.isLost = true
        val runLeasesEndMs = ownership.runLeasesEndMs(settings.longestRunLeaseMs)
        val value =
            LeaseValue(
                "",
                ownership.epoch,
                0,
                runLeasesEndMs = runLeasesEndMs,
                boundsRunLeases = ownership.areEarlierRunLeasesBounded || runLeasesEndMs != null,
            )
        val result = store.commit(leaseWrite(leaseVersion, value))
        log.record(SchedulerEvent.OWNERSHIP_RELEASED, settings.instance, "epoch" to ownership.epoch, "result" to result)
    }

    private suspend fun awaitAcquirableLease(): StoredRow? {
        var latestRow: StoredRow? = null
        var changedAtMs = clock.monotonicMs()
        var wasUnavailable = true
        var seenVersion = -1L
        var seenAt = clock.now()
        while (true) {
            val sentAt = clock.now()
            if (seenVersion < 0) {
                val scan = store.read(Rows.lease)
                if (scan !is ScanResult.Rows) {
                    wasUnavailable = true
                    delay(RETRY_MS)
                    continue
                }
                val row = scan.rows.firstOrNull()
                if (row?.version != latestRow?.version) changedAtMs = clock.monotonicMs()
                // The owner could not renew during a store outage either, so it gets time for one renewal.
                if (wasUnavailable &&
                    latestRow != null
                ) {
                    changedAtMs =
                        maxOf(changedAtMs, clock.monotonicMs() - settings.leaseTtlMs + STORE_RECOVERY_GRACE_MS)
                }
                wasUnavailable = false
                latestRow = row
                seenVersion = scan.version
                seenAt = sentAt
            }
            val value = latestRow?.let { decode(it) }
            observedLease = value
            observedAtMs = changedAtMs
            val acquirableAtMs =
                when {
                    value == null || value.holder.isEmpty() -> changedAtMs + settings.candidateDelayMs
                    // Held by an earlier incarnation of this instance, or by an ownership of it that has ended.
                    value.holder == settings.instance -> changedAtMs + settings.candidateDelayMs
                    else -> changedAtMs + ttlOf(value) + staggerDelayMs(value.epoch) + settings.candidateDelayMs
                }
            val remainingMs = acquirableAtMs - clock.monotonicMs()
            if (remainingMs <= 0) return latestRow
            when (val feed = store.feed(Rows.OWNER, seenVersion, minOf(remainingMs, FEED_WAIT_MS).toInt())) {
                is FeedResult.Changes -> {
                    val writtenAfter = seenAt
                    seenVersion = feed.version
                    seenAt = sentAt
                    feed.rows.lastOrNull { it.key == Rows.lease }?.let {
                        latestRow = it
                        forecasts.onChanged(decode(it), writtenAfter)
                        changedAtMs = clock.monotonicMs()
                        // Only prompt followers read every renewal. The others pause, which saves feed reads; they see
                        // a released lease later and acquire it only if no prompt follower does.
                        if (!isPromptFollower && !isResigned(it)) delay(FOLLOWER_PAUSE_MS)
                    }
                }
                FeedResult.HistoryLost -> seenVersion = -1
                is FeedResult.Unavailable -> {
                    wasUnavailable = true
                    seenVersion = -1
                    delay(RETRY_MS)
                }
            }
        }
    }

    private fun isResigned(row: StoredRow): Boolean = decode(row)?.holder.isNullOrEmpty()

    private fun ttlOf(value: LeaseValue): Long = value.ttlMs.coerceIn(settings.leaseTtlMs, settings.maxLeaseTtlMs)

    // Staggers the candidates, so that most of them do not run into a conflicting write.
    private fun staggerDelayMs(epoch: Long): Long =
        Math.floorMod((settings.instance + epoch).hashCode(), STAGGER_SLOTS) * STAGGER_STEP_MS

    private suspend fun acquire(row: StoredRow?): Ownership? {
        // The version of an unreadable row is at least as high as every epoch before it, since each took a transaction.
        val earlier = row?.let(::decode)
        val earlierEpoch = row?.let { earlier?.epoch ?: it.version } ?: 0
        val epoch = earlierEpoch + 1
        val sentAt = clock.now()
        val isBounded = row == null || earlier?.boundsRunLeases == true
        val value =
            LeaseValue(
                settings.instance,
                epoch,
                0,
                settings.leaseTtlMs,
                boundsRunLeases = isBounded,
                callerAddress = settings.callerAddress,
            )
        val write = leaseWrite(row?.version ?: 0, value)
        val fence = RowWrite(Rows.fence, "$epoch ${settings.instance}")
        val result = store.commit(write.copy(writes = write.writes + fence))
        val version =
            when (result) {
                is CommitResult.Committed -> result.version
                is CommitResult.Conflicted -> versionOfOwnWrite(result, epoch)
                is CommitResult.Unavailable, is CommitResult.Unknown, is CommitResult.Rejected -> {
                    delay(RETRY_MS)
                    null
                }
            } ?: return null
        leaseVersion = version
        log.record(SchedulerEvent.OWNERSHIP_ACQUIRED, settings.instance, "epoch" to epoch, "version" to version)
        val ownership = Ownership(epoch, version, clock, settings, sentAt)
        ownership.areEarlierRunLeasesBounded = isBounded
        if (result is CommitResult.Committed && result.storeMs > 0) {
            val endMs = earlier?.runLeasesEndMs
            ownership.earlierRunLeasesEndMs = endMs
            ownership.earlierRunLeasesEndAtMs = endMs?.let { clock.monotonicMs() + it - result.storeMs }
            ownership.onStoreAnswered(result.storeMs, sentAt)
        }
        return ownership
    }

    /** Returns the version of the lease row if it holds this instance's earlier write whose answer was lost. */
    private fun versionOfOwnWrite(
        conflict: CommitResult.Conflicted,
        epoch: Long,
    ): Long? {
        val row = conflict.rows.firstOrNull { it.key == Rows.lease } ?: return null
        val value = decode(row) ?: return null
        return row.version.takeIf { value.holder == settings.instance && value.epoch == epoch }
    }

    /** Runs [lead] until the ownership ends. Returns false if [lead] threw, or could not begin and returned early. */
    private suspend fun hold(ownership: Ownership): Boolean {
        current = ownership
        var hasLed = true
        try {
            coroutineScope {
                val renewing = launch { renewUntilLost(ownership) }
                val work =
                    launch {
                        lead(ownership)
                        hasLed = ownership.isLost
                        renewing.cancel()
                    }
                renewing.join()
                work.cancel()
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            // Another instance may not have the fault; this one would acquire the lease again at once.
            hasLed = false
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
        return hasLed
    }

    private suspend fun renewUntilLost(ownership: Ownership) {
        var renewals = 0L
        var pauseMs = settings.renewMs
        var latencyMs = 0L
        while (true) {
            delay(pauseMs)
            // An ownership older than its time to live can still be renewed: the commit conflicts if another instance
            // has acquired the lease.
            if (ownership.isLost || !ownership.canExtendRunLeases) return
            val sentAt = clock.now()
            val ttlMs = (settings.leaseTtlMs + latencyMs * LATENCY_FACTOR).coerceAtMost(settings.maxLeaseTtlMs)
            val saturated = ownership.saturatedWorkspaces
            val runLeasesEndMs = ownership.runLeasesEndMs(settings.maxRunLeaseAgeMs)
            val value =
                LeaseValue(
                    settings.instance,
                    ownership.epoch,
                    ++renewals,
                    ttlMs,
                    saturated,
                    runLeasesEndMs,
                    ownership.areEarlierRunLeasesBounded || runLeasesEndMs != null,
                    ownership.forecast?.at(clock),
                    settings.callerAddress,
                )
            val result = store.commit(leaseWrite(leaseVersion, value))
            val version =
                when (result) {
                    is CommitResult.Committed -> result.version
                    is CommitResult.Conflicted -> versionOfOwnWrite(result, ownership.epoch) ?: return
                    is CommitResult.Unavailable, is CommitResult.Unknown, is CommitResult.Rejected -> null
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
                // The conflict confirms only this instance's earlier write, so the next renewal extends the ownership.
                if (result is CommitResult.Committed) {
                    ownership.renewedAt = sentAt
                    ownership.ttlMs = ttlMs
                    ownership.onStoreAnswered(result.storeMs, sentAt)
                    latencyMs = clock.ageOf(sentAt)
                }
                pauseMs = if (result is CommitResult.Committed) settings.renewMs else 0
            }
        }
    }

    private fun leaseWrite(
        expectedVersion: Long,
        value: LeaseValue,
    ) = RowTransaction(
        conditions = listOf(RowCondition(Rows.lease, expectedVersion)),
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
        // An instance that the store does not serve cannot read about a later owner. The outages that the deployments state
        // last up to 12 s.
        const val MAX_ADDRESS_AGE_MS = 20_000L

        // Allows several retries before the lease expires.
        const val RETRY_MS = 150L

        // One renewal period and a round trip.
        const val STORE_RECOVERY_GRACE_MS = 1_000L

        // Bounds the time until a silent connection to the store is noticed.
        const val FEED_WAIT_MS = 2_000L

        // Below half of the lease's time to live, so that each instance reads the row several times within it.
        const val FOLLOWER_PAUSE_MS = 800L

        // On average one in 3 instances, chosen by a hash of its name, follows every renewal: two or three of them in
        // the smallest installations, and a third of the feed reads in the largest.
        const val INSTANCES_PER_PROMPT_FOLLOWER = 3
        const val STAGGER_SLOTS = 8

        // Without this delay an instance that cannot load the rows could become the owner twice in a row.
        const val REELECTION_DELAY_MS = 3_000L

        // Store latency delays both a renewal and its observation by the other instances.
        const val LATENCY_FACTOR = 2
        const val STAGGER_STEP_MS = 60L
    }
}
