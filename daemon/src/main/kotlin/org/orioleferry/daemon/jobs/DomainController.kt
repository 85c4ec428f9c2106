package org.orioleferry.daemon.jobs

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.orioleferry.coordination.ownership.OwnershipState
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.JobId

/** Runs one [DomainTerm] for each term in which this instance owns [domain]. */
internal class DomainController(
    private val dependencies: JobDependencies,
    private val domain: DataCentre,
) {
    private var supersededEpoch = Epoch.NONE
    private val hints = Channel<JobId>(Channel.CONFLATED)

    fun hint(jobId: JobId) {
        hints.trySend(jobId)
    }

    suspend fun run() {
        while (true) {
            val current = dependencies.ownership.ownershipOf(domain)
            if (current.state == OwnershipState.OWNER && current.epoch > supersededEpoch) {
                val guard =
                    OwnershipGuard(dependencies.ownership, domain, current.epoch, dependencies.settings.ownershipPollMs)
                try {
                    DomainTerm(dependencies, guard, hints).run()
                } catch (_: OwnershipLostException) {
                    // The in-memory state ends with the scope of the term; the next owner rebuilds it from the rows.
                    if (guard.isSuperseded) supersededEpoch = current.epoch
                }
            }
            delay(dependencies.settings.ownershipPollMs)
        }
    }
}
