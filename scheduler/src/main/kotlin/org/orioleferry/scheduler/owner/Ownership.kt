package org.orioleferry.scheduler.owner

import kotlinx.serialization.Serializable
import org.orioleferry.core.Clock
import org.orioleferry.scheduler.ClockReading
import org.orioleferry.scheduler.SchedulerSettings
import org.orioleferry.scheduler.ageOf

/**
 * Value of the lease row. An empty [holder] means that the ownership was released. [renewals] makes each renewal change
 * the row. Other instances may acquire the ownership once the row has not changed for [ttlMs]. Every instance reads the
 * row, so it also names the [saturatedWorkspaces], which may add no open work.
 */
@Serializable
internal data class LeaseValue(
    val holder: String,
    val epoch: Long,
    val renewals: Long,
    val ttlMs: Long = 0,
    val saturatedWorkspaces: Set<String> = emptySet(),
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

    /** Whether the ownership has ended: released, its term over, or a worker has seen a higher epoch. */
    internal var isLost: Boolean = false

    /** Whether starts, stops and other decisions are allowed. */
    public val canDecide: Boolean get() = !isLost && clock.ageOf(renewedAt) < ttlMs - DECISION_MARGIN_MS

    /** Whether the leases of running tasks may still be extended. */
    public val canExtendRunLeases: Boolean get() = !isLost && clock.ageOf(renewedAt) < settings.maxRenewalAgeMs

    private companion object {
        // Time to send an order that is decided just before the lease expires.
        const val DECISION_MARGIN_MS = 300L
    }
}
