package org.orioleferry.daemon.jobs

import kotlinx.coroutines.delay
import org.orioleferry.coordination.ownership.Ownership
import org.orioleferry.coordination.ownership.OwnershipState
import org.orioleferry.coordination.ownership.OwnershipView
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.platform.Fence
import org.orioleferry.platform.TableOperation

/** Thrown when this instance no longer owns the domain with the epoch of the term. */
internal class DeposedException(
    message: String,
) : Exception(message)

/** Right to act for [domain] during one term of ownership. Read anew before every effect. */
internal class Authority(
    private val ownership: OwnershipView,
    val domain: DataCentre,
    val epoch: Epoch,
    private val pollMs: Long,
) {
    val fence: Fence = Fence(domain, epoch)

    /** Whether a worker or the store has shown a higher epoch, so that this epoch never owns the domain again. */
    var isDeposed: Boolean = false
        private set

    /** Ends the term: a worker or the store has shown a higher epoch. */
    fun depose(): Nothing {
        isDeposed = true
        end()
    }

    private fun end(): Nothing = throw DeposedException("the term of epoch $epoch of $domain is over")

    /** Fails when the term is over; an unconfirmed owner passes, since it still renews leases. */
    fun requireTerm(): Ownership {
        val current = ownership.of(domain)
        if (isDeposed || current.epoch != epoch || current.state == OwnershipState.NOT_OWNER) end()
        return current
    }

    /** Waits until the ownership is confirmed. No suspension follows the last check. */
    suspend fun awaitOwner(): Ownership {
        while (true) {
            val current = requireTerm()
            if (current.state == OwnershipState.OWNER) return current
            delay(pollMs)
        }
    }
}

/** Operation that makes a transaction fail when the fence row has changed since the ownership was acquired. */
internal fun Ownership.toFenceCheck(): TableOperation =
    TableOperation(OwnershipView.TABLE, OwnershipView.fenceKey(domain), fenceVersion, null, check = true)
