package org.orioleferry.scheduler.owner

import org.orioleferry.core.Clock
import org.orioleferry.scheduler.SchedulerSettings

/**
 * Local monotonic times in ms by which all run leases have certainly ended that earlier owners granted: [endedAtMs] in
 * general, and [endedAfterRestartAtMs] on a worker that has restarted since the start of the run. An order that an earlier
 * owner sent before may have been carried out there, where its deadline gives a longer lease.
 */
internal data class EarlierLeases(
    val endedAtMs: Long,
    val endedAfterRestartAtMs: Long,
) {
    companion object {
        // Time in which a worker ends the runs whose leases have expired.
        private const val EXPIRY_MARGIN_MS = 300L

        /** Returns the times for the term that begins now under [ownership]. */
        fun before(
            ownership: Ownership,
            clock: Clock,
            settings: SchedulerSettings,
        ): EarlierLeases {
            val now = clock.monotonicMs()
            val endedAtMs =
                (ownership.earlierRunLeasesEndAtMs ?: (now + ownership.longestEarlierRunLeaseMs)) + EXPIRY_MARGIN_MS
            val ordersEndedAtMs = now + settings.longestEarlierOrderMs + EXPIRY_MARGIN_MS
            return EarlierLeases(endedAtMs, maxOf(endedAtMs, ordersEndedAtMs))
        }
    }
}
