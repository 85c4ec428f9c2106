package org.orioleferry.coordination.ownership

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.orioleferry.core.Clock
import org.orioleferry.core.event.EventSink
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.InstanceId
import org.orioleferry.platform.TableService
import kotlin.random.Random

/**
 * Times of the ownership leases, in milliseconds.
 *
 * @property ttlMs validity of a lease from the moment at which its renewal was sent.
 * @property renewMs time between two renewals, and between two reads of the first standby.
 * @property standbyReadMs time between two reads of the other standbys.
 * @property rankDelayMs additional wait of a standby per rank after the expiry, so that they do not race.
 * @property outageGraceMs additional wait of the standbys after an outage of the store. With [ttlMs] it exceeds the
 * greatest retry time of the store's circuit breaker (1,500 ms) plus the owner's own period, so that an owner that
 * survived the outage renews first.
 * @property releaseTries attempts to release a lease before it is left to expire.
 */
public data class OwnershipSettings(
    val ttlMs: Long = 1_500,
    val renewMs: Long = 500,
    val standbyReadMs: Long = 2_000,
    val rankDelayMs: Long = 200,
    val outageGraceMs: Long = 500,
    val releaseTries: Int = 3,
)

/** Called when this instance becomes the owner of a domain or ceases to be; it must not block. */
public typealias OwnershipListener = (OwnershipChange) -> Unit

/** A change of ownership as the listener sees it. A lease that is only unconfirmed is no change. */
public sealed interface OwnershipChange {
    /** The domain concerned. */
    public val domain: DataCentre

    /** The instance owns the domain; its workers have to be claimed with [epoch] first. */
    public data class Acquired(
        override val domain: DataCentre,
        val epoch: Epoch,
    ) : OwnershipChange

    /** The instance no longer owns the domain and discards what it holds of [epoch]. */
    public data class Lost(
        override val domain: DataCentre,
        val epoch: Epoch,
    ) : OwnershipChange
}

/**
 * Identity of the instance that competes for leases.
 *
 * @property incarnation differs between two processes of the same id, for example a random number.
 */
public data class OwnershipCandidate(
    val id: InstanceId,
    val incarnation: Long,
)

/**
 * Competes for the ownership leases of [domains] and renews those that it holds.
 *
 * @param store a [org.orioleferry.coordination.store.CircuitBreakerTableService], which limits the calls in an outage.
 * @param liveInstances instances that may own a domain, by which the ranks of the standbys are computed.
 */
public class OwnershipManager(
    self: OwnershipCandidate,
    private val domains: List<DataCentre>,
    store: TableService,
    clock: Clock,
    private val random: Random,
    liveInstances: () -> Collection<InstanceId>,
    private val settings: OwnershipSettings = OwnershipSettings(),
    events: EventSink = { _, _ -> },
    listener: OwnershipListener = {},
) : OwnershipView {
    private val leases =
        domains.associateWith { domain ->
            val leaseStore = LeaseStore(domain, self, store, clock, settings.ttlMs)
            DomainLease(domain, self, leaseStore, clock, random, liveInstances, settings, events, listener)
        }

    /** Renews and competes for the leases until cancelled. Domains start at random moments of one renewal period. */
    public suspend fun run(): Unit =
        coroutineScope {
            domains.forEach { domain ->
                launch {
                    delay(random.nextLong(settings.renewMs))
                    while (true) delay(step(domain))
                }
            }
        }

    /** Makes one renewal, read or acquisition for [domain] and returns the time until the next one in milliseconds. */
    public suspend fun step(domain: DataCentre): Long = leases.getValue(domain).step()

    override fun ownershipOf(domain: DataCentre): Ownership =
        leases[domain]?.ownership() ?: Ownership(domain, OwnershipState.NOT_OWNER, Epoch.NONE, 0)

    /** Domains that this instance owns at this moment, with their epochs. */
    public fun owned(): Map<DataCentre, Epoch> =
        domains
            .map { ownershipOf(it) }
            .filter { it.state == OwnershipState.OWNER }
            .associate { it.domain to it.epoch }

    /** Releases all leases and acquires none from now on. The caller ends its work on the domains first. */
    public suspend fun release(): Unit =
        coroutineScope {
            leases.values.forEach { launch { it.release() } }
        }
}
