package org.orioleferry.coordination.ownership

import org.orioleferry.core.Clock
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.InstanceId
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.Row
import org.orioleferry.platform.TableOperation
import org.orioleferry.platform.TableService

/**
 * A lease that this process, an incarnation of its instance, holds.
 *
 * @property sentMs monotonic time at which the last successful renewal was sent; the lease is valid for one TTL after.
 */
internal data class HeldLease(
    val epoch: Epoch,
    val leaseVersion: Long,
    val fenceVersion: Long,
    val renewals: Long,
    val sentMs: Long,
)

/** Result of reading, renewing or acquiring a lease. */
internal sealed interface LeaseOutcome {
    /** This process holds the lease; [lease] has the versions of the lease row and of the fence row. */
    data class Own(
        val lease: HeldLease,
    ) : LeaseOutcome

    /**
     * This process does not hold the lease. The lease row has [version] and [value], which names another process or,
     * after a release, an empty owner; when the row is absent, [value] is null and [version] is 0.
     */
    data class Other(
        val version: Long,
        val value: LeaseValue?,
    ) : LeaseOutcome

    /** The store did not answer, or its rows gave no consistent state. */
    data class Unavailable(
        val reason: String,
    ) : LeaseOutcome
}

/** Reads and writes the lease and fence rows of one domain. */
internal class LeaseStore(
    private val domain: DataCentre,
    private val self: OwnershipCandidate,
    private val store: TableService,
    private val clock: Clock,
    private val ttlMs: Long,
) {
    private val table = OwnershipView.TABLE
    private val leaseKey = OwnershipView.leaseKey(domain)
    private val fenceKey = OwnershipView.fenceKey(domain)
    private var lastRenewalCount = 0L

    /** Reads the lease row. A lease of this process is reported as [LeaseOutcome.Own], valid from [sentMs]. */
    suspend fun read(sentMs: Long): LeaseOutcome =
        when (val result = store.read(table, leaseKey)) {
            is ReadResult.Unavailable -> LeaseOutcome.Unavailable(result.reason)
            is ReadResult.Found -> toOutcome(result.value, sentMs)
        }

    private suspend fun toOutcome(
        row: Row?,
        sentMs: Long,
    ): LeaseOutcome {
        if (row == null) return LeaseOutcome.Other(0, null)
        val value = row.toLease() ?: return LeaseOutcome.Unavailable("row $leaseKey is malformed")
        if (value.owner != self.id ||
            value.incarnation != self.incarnation
        ) {
            return LeaseOutcome.Other(row.version, value)
        }
        return when (val fence = readFence()) {
            is FenceReading.Unavailable -> LeaseOutcome.Unavailable(fence.reason)
            is FenceReading.Found ->
                if (fence.value?.epoch == value.epoch) {
                    LeaseOutcome.Own(HeldLease(value.epoch, row.version, fence.version, value.renewals, sentMs))
                } else {
                    // Another process acquired the lease between the two reads.
                    LeaseOutcome.Unavailable("rows of $domain changed during the read")
                }
        }
    }

    /**
     * Renews [held] by compare-and-set.
     *
     * The renewal count differs between any two attempts, so that a row read back shows whether it holds this attempt.
     * When the row holds an earlier attempt that took effect late, its version is taken over, but the time of sending
     * stays.
     */
    suspend fun renew(held: HeldLease): LeaseOutcome {
        val sentMs = clock.monotonicMs()
        lastRenewalCount = maxOf(lastRenewalCount, held.renewals) + 1
        val value = LeaseValue(self.id, self.incarnation, held.epoch, ttlMs, lastRenewalCount)
        val operation = TableOperation(table, leaseKey, held.leaseVersion, value.toJson())
        return when (val result = store.commit(listOf(operation))) {
            is CommitResult.Committed -> {
                val version = result.versions.single()
                LeaseOutcome.Own(held.copy(leaseVersion = version, renewals = value.renewals, sentMs = sentMs))
            }
            is CommitResult.Unavailable -> LeaseOutcome.Unavailable(result.reason)
            is CommitResult.Conflicted, is CommitResult.Unknown -> {
                val reading = read(held.sentMs)
                val isThisAttempt = reading is LeaseOutcome.Own && reading.lease.renewals == value.renewals
                if (isThisAttempt) LeaseOutcome.Own(reading.lease.copy(sentMs = sentMs)) else reading
            }
        }
    }

    /**
     * Acquires the lease in one transaction over the lease row and the fence row, provided that the lease row still has
     * [leaseVersion]. The new epoch follows that of the fence row and [highestSeen], the highest epoch that the caller
     * has seen.
     *
     * A lease that was only found by reading back has [NEVER_SENT_MS] as its time of sending and is to be renewed
     * before use, since an earlier attempt may have written it.
     */
    suspend fun acquire(
        leaseVersion: Long,
        highestSeen: Epoch,
    ): LeaseOutcome {
        val fence =
            when (val reading = readFence()) {
                is FenceReading.Unavailable -> return LeaseOutcome.Unavailable(reading.reason)
                is FenceReading.Found -> reading
            }
        val epoch = maxOf(highestSeen, fence.value?.epoch ?: Epoch.NONE).next()
        val sentMs = clock.monotonicMs()
        val value = LeaseValue(self.id, self.incarnation, epoch, ttlMs)
        val operations =
            listOf(
                TableOperation(table, leaseKey, leaseVersion, value.toJson()),
                TableOperation(table, fenceKey, fence.version, FenceValue(self.id, epoch).toJson()),
            )
        return when (val result = store.commit(operations)) {
            is CommitResult.Committed ->
                LeaseOutcome.Own(
                    HeldLease(epoch, result.versions[0], result.versions[1], 0, sentMs),
                )
            is CommitResult.Unavailable -> LeaseOutcome.Unavailable(result.reason)
            is CommitResult.Conflicted, is CommitResult.Unknown -> read(NEVER_SENT_MS)
        }
    }

    /** Writes an empty owner. True when this process certainly no longer holds the lease. */
    suspend fun release(held: HeldLease): Boolean {
        val value = LeaseValue(InstanceId(""), 0, held.epoch, ttlMs)
        val operation = TableOperation(table, leaseKey, held.leaseVersion, value.toJson())
        return store.commit(listOf(operation)) is CommitResult.Committed || read(NEVER_SENT_MS) is LeaseOutcome.Other
    }

    internal companion object {
        /** Time of sending of a lease that no renewal confirmed; half of the minimum, so that adding a TTL is safe. */
        const val NEVER_SENT_MS: Long = Long.MIN_VALUE / 2
    }

    private sealed interface FenceReading {
        data class Found(
            val version: Long,
            val value: FenceValue?,
        ) : FenceReading

        data class Unavailable(
            val reason: String,
        ) : FenceReading
    }

    private suspend fun readFence(): FenceReading =
        when (val result = store.read(table, fenceKey)) {
            is ReadResult.Unavailable -> FenceReading.Unavailable(result.reason)
            is ReadResult.Found -> {
                val row = result.value
                val value = row?.toFence()
                if (row != null && value == null) {
                    FenceReading.Unavailable("row $fenceKey is malformed")
                } else {
                    FenceReading.Found(row?.version ?: 0, value)
                }
            }
        }
}
