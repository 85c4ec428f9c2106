package org.orioleferry.scheduler.owner

import kotlinx.serialization.Serializable
import org.orioleferry.core.Clock
import org.orioleferry.scheduler.Moment
import org.orioleferry.scheduler.SchedulerSettings
import org.orioleferry.scheduler.ageOf

/**
 * Value of the lease row. An empty [holder] means that the ownership was given up; [ttlMs] is the age at which it has
 * lapsed.
 */
@Serializable
internal data class LeaseValue(
    val holder: String,
    val epoch: Long,
    val renewals: Long,
    val ttlMs: Long = 0,
)

/**
 * The ownership of the installation in one epoch. The epoch is the fencing token at the workers.
 *
 * @property fenceVersion version of the fence row, which every transaction of the owner checks.
 * @property acquiredVersion store version at which the epoch began.
 */
public class Ownership internal constructor(
    public val epoch: Long,
    public val fenceVersion: Long,
    private val clock: Clock,
    private val settings: SchedulerSettings,
    renewedAt: Moment,
) {
    internal var renewedAt: Moment = renewedAt
    internal var ttlMs: Long = settings.leaseTtlMs
    internal var isLost: Boolean = false

    /** Whether starts, stops and other decisions are allowed. */
    public val mayDecide: Boolean get() = !isLost && clock.ageOf(renewedAt) < ttlMs - DECISION_MARGIN_MS

    /** Whether the leases of running tasks may still be extended. */
    public val mayHold: Boolean get() = !isLost && clock.ageOf(renewedAt) < settings.holdLimitMs

    private companion object {
        // An order that is decided just before the lease ends still has to be sent.
        const val DECISION_MARGIN_MS = 300L
    }
}
