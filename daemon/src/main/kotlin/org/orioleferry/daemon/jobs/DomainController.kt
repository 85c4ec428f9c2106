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
    private var refused = Epoch.NONE
    private val hints = Channel<JobId>(Channel.CONFLATED)

    fun hint(jobId: JobId) {
        hints.trySend(jobId)
    }

    suspend fun run() {
        while (true) {
            val current = parts.ownership.of(domain)
            if (current.state == OwnershipState.OWNER && current.epoch > refused) {
                val authority = Authority(parts.ownership, domain, current.epoch, parts.settings.ownershipPollMs)
                try {
                    DomainTerm(parts, authority, hints).run()
                } catch (_: DeposedException) {
                    // The state of the term is discarded with its scope; the next owner rebuilds it from the rows.
                    if (authority.isDeposed) refused = current.epoch
                }
            }
            delay(parts.settings.ownershipPollMs)
        }
    }
}
