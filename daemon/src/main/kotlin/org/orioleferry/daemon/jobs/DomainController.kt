package org.orioleferry.daemon.jobs

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.orioleferry.coordination.ownership.OwnershipState
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.JobId

/** Runs one [DomainTerm] for each term in which this instance owns [domain]. */
internal class DomainController(
    private val parts: JobParts,
    private val domain: DataCentre,
) {
    private var supersededEpoch = Epoch.NONE
    private val hints = Channel<JobId>(Channel.CONFLATED)

    fun hint(jobId: JobId) {
        hints.trySend(jobId)
    }

    suspend fun run() {
        while (true) {
            val current = parts.ownership.of(domain)
            if (current.state == OwnershipState.OWNER && current.epoch > supersededEpoch) {
                val guard = OwnershipGuard(parts.ownership, domain, current.epoch, parts.settings.ownershipPollMs)
                try {
                    DomainTerm(parts, guard, hints).run()
                } catch (_: OwnershipLostException) {
                    // The in-memory state ends with the scope of the term; the next owner rebuilds it from the rows.
                    if (guard.isSuperseded) supersededEpoch = current.epoch
                }
            }
            delay(parts.settings.ownershipPollMs)
        }
    }
}
