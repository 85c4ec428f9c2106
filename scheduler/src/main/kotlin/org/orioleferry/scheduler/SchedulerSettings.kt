package org.orioleferry.scheduler

/**
 * Timeouts and limits of the scheduler, in ms unless the name says otherwise.
 *
 * @property leaseTtlMs age of the last renewal at which the ownership expires while the store answers fast: three
 *   renewals. The owner writes a longer one into the lease row when its renewals take longer.
 * @property maxLeaseTtlMs upper bound of the time to live of the ownership; the platform's limit for a change of
 *   owner is 3 s.
 * @property renewMs pause between renewals.
 * @property holdLimitMs age of the last renewal up to which an owner that gets no answer from the store still extends
 *   the leases of running tasks. Longer than the outages of about 5 s that the deployments state.
 * @property runLeaseMs lease of running tasks at a worker, at most what the worker grants.
 * @property holdWaitMs longest wait of a lease renewal at a worker; the workers limit it.
 * @property clockSlowdown lowest rate of a worker's clock relative to the local clock.
 * @property candidateDelayMs extra delay of this instance's candidacy in the election. Weak instances wait longer,
 *   because an owner needs processor time and bandwidth.
 * @property maxStopMs longest time that a worker takes to stop a run.
 * @property maxManifestAgeMs age of the manifest beyond which calls with a key are refused.
 * @property statusRetentionMs time for which the state of an ended job stays readable.
 */
public data class SchedulerSettings(
    val instance: String,
    val dataCentre: String,
    val leaseTtlMs: Long = 1_700,
    val maxLeaseTtlMs: Long = 2_900,
    val renewMs: Long = 500,
    val holdLimitMs: Long = 7_000,
    val runLeaseMs: Long = 6_000,
    val holdWaitMs: Int = 2_000,
    val clockSlowdown: Double = 0.98,
    val candidateDelayMs: Long = 0,
    val maxStopMs: Long = 900,
    val maxManifestAgeMs: Long = 2_900,
    val statusRetentionMs: Long = 120_000,
)
