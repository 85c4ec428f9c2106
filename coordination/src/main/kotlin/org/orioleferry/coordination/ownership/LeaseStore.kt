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
 * A lease that this instance holds.
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

/** Result of a read or write of a lease. */
internal sealed interface LeaseReading {
    /** This instance holds the lease; [lease] has the versions of both rows. */
    data class Own(
        val lease: HeldLease,
    ) : LeaseReading

    /** The lease row has [version] and is held by [value], or is absent (null, version 0). */
    data class Other(
        val version: Long,
        val value: LeaseValue?,
    ) : LeaseReading

    /** The store did not answer, or its rows gave no consistent state. */
    data class Unavailable(
        val reason: String,
    ) : LeaseReading
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

    /** Reads the lease row. A lease of this process is reported as [LeaseReading.Own], valid from [sentMs]. */
    suspend fun read(sentMs: Long): LeaseReading =
        when (val result = store.read(table, leaseKey)) {
            is ReadResult.Unavailable -> LeaseReading.Unavailable(result.reason)
            is ReadResult.Found -> toReading(result.value, sentMs)
        }

    private suspend fun toReading(
        row: Row?,
        sentMs: Long,
    ): LeaseReading {
        if (row == null) return LeaseReading.Other(0, null)
        val value = row.toLease() ?: return LeaseReading.Unavailable("row $leaseKey is malformed")
        if (value.owner != self.id ||
            value.incarnation != self.incarnation
        ) {
            return LeaseReading.Other(row.version, value)
        }
        return when (val fence = readFence()) {
            is FenceReading.Unavailable -> LeaseReading.Unavailable(fence.reason)
            is FenceReading.Found ->
                if (fence.value?.epoch == value.epoch) {
                    LeaseReading.Own(HeldLease(value.epoch, row.version, fence.version, value.renewals, sentMs))
                } else {
                    // Another instance acquired the domain between the two reads.
                    LeaseReading.Unavailable("rows of $domain changed during the read")
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
    suspend fun renew(held: HeldLease): LeaseReading {
        val sentMs = clock.monotonicMs()
        lastRenewalCount = maxOf(lastRenewalCount, held.renewals) + 1
        val value = LeaseValue(self.id, self.incarnation, held.epoch, ttlMs, lastRenewalCount)
        val operation = TableOperation(table, leaseKey, held.leaseVersion, value.toJson())
        return when (val result = store.commit(listOf(operation))) {
            is CommitResult.Committed -> {
                val version = result.versions.single()
                LeaseReading.Own(held.copy(leaseVersion = version, renewals = value.renewals, sentMs = sentMs))
            }
            is CommitResult.Unavailable -> LeaseReading.Unavailable(result.reason)
            is CommitResult.Conflicted, is CommitResult.Unknown -> {
                val reading = read(held.sentMs)
                val isThisAttempt = reading is LeaseReading.Own && reading.lease.renewals == value.renewals
                if (isThisAttempt) LeaseReading.Own(reading.lease.copy(sentMs = sentMs)) else reading
            }
        }
    }

    /**
     * Acquires the lease in one transaction over both rows, provided that the lease row still has [leaseVersion].
     *
     * A lease that was only found by reading back has [NEVER_SENT_MS] as its time of sending and is to be renewed
     * before use, since an earlier attempt may have written it.
     */
    suspend fun acquire(
        leaseVersion: Long,
        highestSeen: Epoch,
    ): LeaseReading {
        val fence =
            when (val reading = readFence()) {
                is FenceReading.Unavailable -> return LeaseReading.Unavailable(reading.reason)
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
                LeaseReading.Own(
                    HeldLease(epoch, result.versions[0], result.versions[1], 0, sentMs),
                )
            is CommitResult.Unavailable -> LeaseReading.Unavailable(result.reason)
            is CommitResult.Conflicted, is CommitResult.Unknown -> read(NEVER_SENT_MS)
        }
    }

    /** Releases the lease by an empty owner. True when the lease is certainly no longer held. */
    suspend fun release(held: HeldLease): Boolean {
        val value = LeaseValue(InstanceId(""), 0, held.epoch, ttlMs)
        val operation = TableOperation(table, leaseKey, held.leaseVersion, value.toJson())
        return store.commit(listOf(operation)) is CommitResult.Committed || read(NEVER_SENT_MS) is LeaseReading.Other
    }

    internal companion object {
        /** Time of sending of a lease that no renewal confirmed; half of the minimum avoids overflow with a TTL. */
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
