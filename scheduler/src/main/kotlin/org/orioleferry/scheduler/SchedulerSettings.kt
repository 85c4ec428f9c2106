package org.orioleferry.scheduler

/**
 * Times and limits of the scheduler in ms unless the name says otherwise.
 *
 * @property leaseTtlMs age of the last renewal at which the ownership has lapsed while the store answers fast: three
 *   renewals. The owner writes a longer one into the lease row when its renewals take longer.
 * @property longestTtlMs upper bound of that; the platform's bound for taking turns is 3 s.
 * @property renewMs pause between renewals.
 * @property holdLimitMs age of the last renewal up to which an owner that the store does not answer still extends the
 *   leases of running tasks. Longer than the outages of about 5 s that the deployments state.
 * @property runLeaseMs lease of running tasks at a worker, at most what the worker grants.
 * @property longHoldMs longest wait of a hold call, a limit of the workers.
 * @property clockSlowdown lowest rate of a worker's clock against ours.
 * @property candidateDelayMs time by which this instance lets others go first in the election: an owner needs processor
 *   time and bandwidth, so weak instances wait longer.
 * @property stopMs longest time that a worker takes for a stop.
 * @property keyFreshnessMs age of the manifest beyond which calls with a key are refused.
 * @property statusKeptMs time for which the state of an ended job can be read.
 */
public data class SchedulerSettings(
    val instance: String,
    val dataCentre: String,
    val leaseTtlMs: Long = 1_700,
    val longestTtlMs: Long = 2_900,
    val renewMs: Long = 500,
    val holdLimitMs: Long = 7_000,
    val runLeaseMs: Long = 6_000,
    val longHoldMs: Int = 2_000,
    val clockSlowdown: Double = 0.98,
    val candidateDelayMs: Long = 0,
    val stopMs: Long = 900,
    val keyFreshnessMs: Long = 2_900,
    val statusKeptMs: Long = 120_000,
)
