package org.orioleferry.daemon.jobs

import kotlinx.coroutines.delay
import org.orioleferry.coordination.ownership.Ownership
import org.orioleferry.coordination.ownership.OwnershipState
import org.orioleferry.coordination.ownership.OwnershipView
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.platform.Fence
import org.orioleferry.platform.TableOperation

/** Thrown when this instance no longer owns the domain with the epoch of its term. */
internal class OwnershipLostException(
    message: String,
) : Exception(message)

/** Checks, before every command and write of one term, that this instance still owns [domain] with [epoch]. */
internal class OwnershipGuard(
    private val ownership: OwnershipView,
    val domain: DataCentre,
    val epoch: Epoch,
    private val pollMs: Long,
) {
    val fence: Fence = Fence(domain, epoch)

    /** Whether a worker or the store has reported a higher epoch, so that this epoch never owns the domain again. */
    var isSuperseded: Boolean = false
        private set

    /** Marks the epoch as superseded by one that a worker or the store reported, and ends the term. */
    fun failSuperseded(): Nothing {
        isSuperseded = true
        failEnded()
    }

    private fun failEnded(): Nothing =
        throw OwnershipLostException("the ownership term with epoch $epoch of domain $domain has ended")

    /** Fails when the term has ended; an unconfirmed owner passes, since it may still renew leases. */
    fun requireCurrentTerm(): Ownership {
        val current = ownership.ownershipOf(domain)
        if (isSuperseded || current.epoch != epoch || current.state == OwnershipState.NOT_OWNER) failEnded()
        return current
    }

    /** Waits until the ownership is confirmed, and returns without suspending after the last check. */
    suspend fun awaitConfirmedOwnership(): Ownership {
        while (true) {
            val current = requireCurrentTerm()
            if (current.state == OwnershipState.OWNER) return current
            delay(pollMs)
        }
    }
}

/** Creates a check that fails the transaction when the fence row has changed since the ownership was acquired. */
internal fun Ownership.toFenceCheck(): TableOperation =
    TableOperation(OwnershipView.TABLE, OwnershipView.fenceKey(domain), fenceVersion, null, check = true)
