package org.orioleferry.coordination.ownership

import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch

/** Whether this instance owns a domain, as far as it knows. */
public enum class OwnershipState {
    /** Another instance owns the domain, or none. */
    NOT_OWNER,

    /** The lease is valid by this process's monotonic clock. */
    OWNER,

    /** The lease lapsed while the store is unreachable and no higher epoch was seen: renew task leases, start nothing. */
    UNCONFIRMED,
}

/**
 * This instance's ownership of one domain at the moment of the call.
 *
 * @property fenceVersion version of the fence row that a transaction of the owner has to check.
 */
public data class Ownership(
    val domain: DataCentre,
    val state: OwnershipState,
    val epoch: Epoch,
    val fenceVersion: Long,
)

/** Reads the present ownership of [domain]. Read it again after every suspension that precedes an effect. */
public fun interface OwnershipView {
    /** The ownership at this moment, judged by the monotonic clock. */
    public fun ownershipOf(domain: DataCentre): Ownership

    public companion object {
        /** Table of the ownership rows. */
        public const val TABLE: String = "ownership"

        /** Key of the fence row of [domain]. */
        public fun fenceKey(domain: DataCentre): String = "fence/$domain"

        /** Key of the lease row of [domain]. */
        public fun leaseKey(domain: DataCentre): String = "lease/$domain"
    }
}
