package org.orioleferry.scheduler.owner

import kotlinx.serialization.Serializable
import org.orioleferry.core.Clock
import org.orioleferry.scheduler.ClockReading
import org.orioleferry.scheduler.SchedulerSettings
import org.orioleferry.scheduler.ageOf
import org.orioleferry.scheduler.model.LoadForecast

/**
 * Value of the lease row. An empty [holder] means that the ownership was released. [renewals] makes each renewal change
 * the row. Other instances may acquire the ownership once the row has not changed for [ttlMs]. Every instance reads the
 * row, so it also names the [saturatedWorkspaces], which may add no open work. [runLeasesEndMs] is the time on the store's
 * clock at which the leases of all running tasks have ended, whatever the holder does before the next renewal; null if
 * it is not known. [boundsRunLeases] tells whether no owner of an earlier version, which does not write that time, may
 * have left leases that last longer. [forecast] tells how long new work waits; null where nothing waits long.
 * [callerAddress] is [SchedulerSettings.callerAddress] of the holder.
 */
@Serializable
internal data class LeaseValue(
    val holder: String,
    val epoch: Long,
    val renewals: Long,
    val ttlMs: Long = 0,
    val saturatedWorkspaces: Set<String> = emptySet(),
    val runLeasesEndMs: Long? = null,
    val boundsRunLeases: Boolean = false,
    val forecast: LoadForecast? = null,
    val callerAddress: String = "",
)

/** A reading of the store's clock in the answer to a call that was sent at [sentAt]. */
internal data class StoreClockReading(
    val storeMs: Long,
    val sentAt: ClockReading,
)

/**
 * Ownership of the installation during one epoch. The epoch is the fencing token at the workers.
 *
 * @property fenceVersion version of the fence row, which every transaction of the owner checks. It is also the store
 *   version at which the epoch began.
 */
public class Ownership internal constructor(
    public val epoch: Long,
    public val fenceVersion: Long,
    private val clock: Clock,
    private val settings: SchedulerSettings,
    renewedAt: ClockReading,
) {
    /** Time at which the last confirmed acquisition or renewal was sent. */
    internal var renewedAt: ClockReading = renewedAt

    /** Age of [renewedAt] at which the ownership expires. */
    internal var ttlMs: Long = settings.leaseTtlMs

    /** Workspaces that may add no open work, as last determined by this owner. */
    internal var saturatedWorkspaces: Set<String> = emptySet()

    /** Waits of new work as last computed by this owner, or null before that. */
    internal var forecast: ComputedForecast? = null

    /** Whether the ownership has ended: released, its term over, or a worker has seen a higher epoch. */
    internal var isLost: Boolean = false

    /** Last reading of the store's clock, or null before the first. */
    private var storeClock: StoreClockReading? = null

    /** Whether all earlier owners whose leases may last have bounded them. */
    internal var areEarlierRunLeasesBounded = true

    /** Longest time in ms that a run lease of an earlier owner lasts after this ownership was acquired. */
    internal val longestEarlierRunLeaseMs: Long get() =
        if (areEarlierRunLeasesBounded) settings.longestEarlierRunLeaseMs else settings.longestUnboundedRunLeaseMs

    /** Time on the store's clock at which the run leases of earlier owners have ended, or null before its first reading. */
    internal var earlierRunLeasesEndMs: Long? = null

    /** Monotonic time at which the run leases of earlier owners have certainly ended, or null if it is not known. */
    internal var earlierRunLeasesEndAtMs: Long? = null

    /** Takes over a reading of the store's clock, 0 if the answer had none. */
    internal fun onStoreAnswered(
        storeMs: Long,
        sentAt: ClockReading,
    ) {
        if (storeMs <= 0) return
        storeClock = StoreClockReading(storeMs, sentAt)
        earlierRunLeasesEndMs = earlierRunLeasesEndMs ?: (storeMs + longestEarlierRunLeaseMs)
    }

    /** Monotonic time at which every run lease granted now has to have ended. */
    internal val runLeaseLimitMs: Long get() =
        clock.monotonicMs() + settings.maxRunLeaseAgeMs - clock.ageOf(renewedAt)

    /**
     * Returns the time on the store's clock at which all run leases have ended if this owner grants none that lasts longer
     * than [longestMs] from now, or null if it is not known.
     */
    internal fun runLeasesEndMs(longestMs: Long): Long? {
        val reading = storeClock ?: return null
        val earlierEndMs = earlierRunLeasesEndMs ?: return null
        return maxOf(earlierEndMs, reading.storeMs + clock.ageOf(reading.sentAt) + longestMs)
    }

    /** Whether starts, stops and other decisions are allowed. */
    public val canDecide: Boolean get() = !isLost && clock.ageOf(renewedAt) < ttlMs - DECISION_MARGIN_MS

    /** Whether the leases of running tasks may still be extended. */
    public val canExtendRunLeases: Boolean get() = !isLost && clock.ageOf(renewedAt) < settings.maxRunLeaseAgeMs

    private companion object {
        // Time to send an order that is decided just before the lease expires.
        const val DECISION_MARGIN_MS = 300L
    }
}
