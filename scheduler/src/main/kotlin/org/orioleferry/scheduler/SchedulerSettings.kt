package org.orioleferry.scheduler

/**
 * Timeouts and limits of the scheduler, in ms unless the name says otherwise.
 *
 * @property leaseTtlMs time to live of the ownership lease, counted from its last renewal, while the store answers
 *   fast; covers three renewals. The owner writes a longer one into the lease row when its renewals take longer.
 * @property maxLeaseTtlMs upper bound of the time to live of the ownership lease; the platform's limit for a change of
 *   owner is 3 s.
 * @property renewMs pause between renewals of the ownership lease.
 * @property maxRunLeaseAgeMs age of the last renewal of the ownership lease at which every lease of a running task has
 *   ended. An owner that gets no answer from the store extends the leases up to then. Longer than the outages that the
 *   deployments state; the next owner waits for it before it starts tasks of unreachable workers elsewhere.
 * @property runLeaseMs length of the leases of running tasks at a worker, counted from the last renewal; at most what
 *   the worker grants.
 * @property maxGrantedLeaseMs longest lease that a worker grants, on its clock; a later deadline is shortened to it.
 * @property pollWaitMs longest time that a worker may delay its answer to a renewal of the run leases while it
 *   waits for a run to end; the workers limit it.
 * @property minClockRate lowest rate of a worker's clock relative to the local clock.
 * @property candidateDelayMs extra delay of this instance's candidacy in the election. Weak instances wait longer,
 *   because an owner needs processor time and bandwidth.
 * @property maxStopMs longest time that a worker takes to stop a run.
 * @property maxManifestAgeMs time since the store last confirmed the manifest as the newest after which calls with an
 *   API key are refused.
 * @property statusRetentionMs time for which the state of an ended job stays readable.
 * @property maxRowBytes largest value of a row that the store accepts.
 * @property callerAddress address at which this instance answers callers and other instances that pass calls on while the
 *   store does not serve them, as host:port; empty where instances do not pass calls on.
 * @property evacuateMs longest time from the operator's request to evacuate a data centre to the last start there, or null
 *   where the deployment states none.
 * @property shortage figures of the deployment for decisions by cost when there is too little room, or null where these
 *   decisions are not in force.
 */
public data class SchedulerSettings(
    val instance: String,
    val dataCentre: String,
    val leaseTtlMs: Long = 1_700,
    val maxLeaseTtlMs: Long = 2_900,
    val renewMs: Long = 500,
    val maxRunLeaseAgeMs: Long = 8_500,
    val runLeaseMs: Long = 6_000,
    val maxGrantedLeaseMs: Long = 10_000,
    val pollWaitMs: Int = 2_000,
    val minClockRate: Double = 0.98,
    val candidateDelayMs: Long = 0,
    val maxStopMs: Long = 900,
    val maxManifestAgeMs: Long = 2_900,
    val statusRetentionMs: Long = 120_000,
    val maxRowBytes: Int = 65_536,
    val callerAddress: String = "",
    val evacuateMs: Long? = null,
    val shortage: ShortageSettings? = null,
) {
    /** Longest time in ms that a lease of a run lasts by the local clock. */
    internal val longestRunLeaseMs: Long get() = (runLeaseMs / minClockRate).toLong()

    /**
     * Longest time in ms from the sending of an order to the end of the lease that it gives if a later incarnation of the
     * worker carries it out. The clock of that incarnation starts anew, so the deadline may be far ahead on it.
     */
    internal val longestEarlierOrderMs: Long get() = MAX_ORDER_MS + (maxGrantedLeaseMs / minClockRate).toLong()

    /**
     * Longest time in ms that a run lease of an earlier owner lasts after a new owner has acquired the ownership: the
     * earlier one has released it, has ended, or was renewed at least [leaseTtlMs] before.
     */
    internal val longestEarlierRunLeaseMs: Long get() = maxOf(longestRunLeaseMs, maxRunLeaseAgeMs - leaseTtlMs)

    /** Like [longestEarlierRunLeaseMs], for owners of earlier versions, which extended leases for [UNBOUNDED_EXTENSION_MS]. */
    internal val longestUnboundedRunLeaseMs: Long get() = UNBOUNDED_EXTENSION_MS - leaseTtlMs + longestRunLeaseMs

    private companion object {
        // An order without an answer is given up sooner, which closes its connection.
        const val MAX_ORDER_MS = 1_000L

        // Age of their last renewal up to which owners without maxRunLeaseAgeMs extended run leases.
        const val UNBOUNDED_EXTENSION_MS = 7_000L
    }
}

/**
 * Figures of a deployment that tell what stopping and delaying work costs.
 *
 * @property restoreMs time in ms that a run needs to resume from its checkpoint.
 * @property reclaimMs time in ms after its acceptance by which urgent work within a guarantee has to begin.
 */
public data class ShortageSettings(
    val restoreMs: Long,
    val reclaimMs: Long,
)
