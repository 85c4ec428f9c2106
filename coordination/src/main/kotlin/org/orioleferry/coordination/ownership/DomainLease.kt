package org.orioleferry.coordination.ownership

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.orioleferry.coordination.membership.rendezvousOrder
import org.orioleferry.core.Clock
import org.orioleferry.core.event.EventSink
import org.orioleferry.core.event.EventType
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.InstanceId
import kotlin.random.Random

/** The state of this instance for one domain: standby or holder of the lease. */
internal class DomainLease(
    private val domain: DataCentre,
    private val self: OwnershipCandidate,
    private val leaseStore: LeaseStore,
    private val clock: Clock,
    private val random: Random,
    private val liveInstances: () -> Collection<InstanceId>,
    private val settings: OwnershipSettings,
    private val events: EventSink,
    private val listener: OwnershipListener,
) {
    private val lock = Mutex()

    @Volatile
    private var held: HeldLease? = null

    @Volatile
    private var highestEpoch = Epoch.NONE
    private var observed: Observation? = null
    private var hasFailedRead = false
    private var lastReadMs = 0L
    private var isClosed = false

    /** The lease row as last read; [sinceMs] is when this version was first seen. */
    private class Observation(
        val reading: LeaseOutcome.Other,
        val sinceMs: Long,
    )

    fun ownership(): Ownership {
        val lease = held ?: return Ownership(domain, OwnershipState.NOT_OWNER, highestEpoch, 0)
        val isValid = clock.monotonicMs() < lease.sentMs + settings.ttlMs
        val state = if (isValid) OwnershipState.OWNER else OwnershipState.UNCONFIRMED
        return Ownership(domain, state, lease.epoch, lease.fenceVersion)
    }

    suspend fun step(): Long =
        lock.withLock {
            val lease = held
            when {
                isClosed -> settings.standbyReadMs
                lease != null -> renew(lease)
                else -> readAsStandby()
            }
        }

    suspend fun release(): Unit =
        lock.withLock {
            isClosed = true
            val lease = held ?: return
            onLost(lease)
            var attempts = 0
            while (attempts < settings.releaseTries && !leaseStore.release(lease)) attempts++
            events(EventType.OWNERSHIP_RELEASED, attributes(lease.epoch))
        }

    private suspend fun renew(lease: HeldLease): Long {
        val isLapsed = ownership().state == OwnershipState.UNCONFIRMED
        // After an outage or a pause the row is read first, since another instance may own the domain by now.
        val current = if (isLapsed) leaseStore.read(lease.sentMs) else LeaseOutcome.Own(lease)
        val result =
            if (current is LeaseOutcome.Own &&
                current.lease.epoch == lease.epoch
            ) {
                leaseStore.renew(current.lease)
            } else {
                current
            }
        return when (result) {
            is LeaseOutcome.Own ->
                if (result.lease.epoch == lease.epoch) {
                    held = result.lease
                    // A renewal that only read the row back did not extend the lease and is repeated at once.
                    if (result.lease.sentMs > lease.sentMs) jittered(settings.renewMs) else IMMEDIATE_RETRY_MS
                } else {
                    onLost(lease)
                    onAcquired(result.lease)
                }
            is LeaseOutcome.Other -> {
                onLost(lease)
                stepAsStandby(result)
            }
            is LeaseOutcome.Unavailable -> {
                events(EventType.OWNERSHIP_RENEWAL_FAILED, attributes(lease.epoch) + ("reason" to result.reason))
                jittered(settings.renewMs / 2)
            }
        }
    }

    private suspend fun readAsStandby(): Long =
        when (val reading = leaseStore.read(LeaseStore.NEVER_SENT_MS)) {
            is LeaseOutcome.Unavailable -> {
                hasFailedRead = true
                jittered(settings.renewMs)
            }
            is LeaseOutcome.Other -> stepAsStandby(reading)
            // The answer of an acquisition was lost, and the acquisition took effect after the read-back.
            is LeaseOutcome.Own -> confirm(reading.lease)
        }

    /** Renews a lease that was found by reading, and becomes the owner when that succeeds. */
    private suspend fun confirm(lease: HeldLease): Long {
        val renewed = leaseStore.renew(lease)
        if (renewed !is LeaseOutcome.Own || renewed.lease.sentMs == LeaseStore.NEVER_SENT_MS) return CONFIRM_RETRY_MS
        return onAcquired(renewed.lease)
    }

    private suspend fun stepAsStandby(reading: LeaseOutcome.Other): Long {
        val now = clock.monotonicMs()
        val observation = recordReading(reading, now)
        val rank = standbyRank(reading.value)
        val isFree = reading.value == null || reading.value.isReleased
        val expiryMs = observation.sinceMs + if (isFree) 0 else reading.value.ttlMs
        val acquireAtMs = expiryMs + rank * settings.rankDelayMs
        val periodMs = if (rank == 0) settings.renewMs else settings.standbyReadMs
        return when {
            now >= acquireAtMs -> acquire(reading)
            now >= expiryMs || acquireAtMs - now < periodMs -> acquireAtMs - now
            else -> jittered(periodMs)
        }
    }

    private fun recordReading(
        reading: LeaseOutcome.Other,
        now: Long,
    ): Observation {
        // The owner could not renew during the outage either, so it gets a whole TTL and the grace period afterwards.
        val isAfterOutage = hasFailedRead && now - lastReadMs > settings.ttlMs
        hasFailedRead = false
        lastReadMs = now
        val previous = observed
        val current =
            when {
                isAfterOutage -> Observation(reading, now + settings.outageGraceMs)
                previous != null && previous.reading.version == reading.version -> previous
                else -> Observation(reading, now)
            }
        observed = current
        highestEpoch = maxOf(highestEpoch, reading.value?.epoch ?: Epoch.NONE)
        return current
    }

    private suspend fun acquire(seen: LeaseOutcome.Other): Long =
        when (val result = leaseStore.acquire(seen.version, highestEpoch)) {
            is LeaseOutcome.Own ->
                if (result.lease.sentMs == LeaseStore.NEVER_SENT_MS) confirm(result.lease) else onAcquired(result.lease)
            is LeaseOutcome.Unavailable -> jittered(settings.renewMs)
            is LeaseOutcome.Other -> {
                recordReading(result, clock.monotonicMs())
                jittered(settings.renewMs)
            }
        }

    /** Number of live standbys that precede this one. The owner in the row is presumed dead and not counted. */
    private fun standbyRank(lease: LeaseValue?): Int {
        val standbys = liveInstances().filter { it != lease?.owner } + self.id
        return rendezvousOrder(domain.value, standbys).indexOf(self.id)
    }

    private fun onAcquired(lease: HeldLease): Long {
        held = lease
        observed = null
        highestEpoch = maxOf(highestEpoch, lease.epoch)
        events(EventType.OWNERSHIP_ACQUIRED, attributes(lease.epoch))
        listener(OwnershipChange.Acquired(domain, lease.epoch))
        return jittered(settings.renewMs)
    }

    private fun onLost(lease: HeldLease) {
        held = null
        events(EventType.OWNERSHIP_LOST, attributes(lease.epoch))
        listener(OwnershipChange.Lost(domain, lease.epoch))
    }

    private fun attributes(epoch: Epoch) =
        mapOf("dataCentre" to domain.value, "instance" to self.id.value, "epoch" to epoch.toString())

    /** [periodMs] shortened at random by up to a tenth, so that instances and domains do not stay synchronised. */
    private fun jittered(periodMs: Long): Long = periodMs - random.nextLong(periodMs / JITTER_DIVISOR + 1)

    private companion object {
        const val JITTER_DIVISOR = 10
        const val IMMEDIATE_RETRY_MS = 1L
        const val CONFIRM_RETRY_MS = 100L
    }
}
