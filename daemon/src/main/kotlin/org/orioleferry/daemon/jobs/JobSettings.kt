package org.orioleferry.daemon.jobs

/**
 * Settings of the job controllers, all times in milliseconds.
 *
 * @property taskLeaseTtlMs time to live of a task lease at a worker.
 * @property reclaimGraceMs longest wait for the checkpoint of a gang that is to be stopped.
 * @property inboxPeriodMs period at which an owner reads its inbox for new and cancelled jobs without a hint.
 * @property probePeriodMs time between the probes of a member that does not answer.
 * @property probeLimit failed probes in a row after which a member is lost.
 * @property passIntervalMs shortest time between two placement passes.
 * @property storeRetryMs pause after the store was unavailable.
 * @property leaseMarginMs margin for delayed renewals before the lease of an unreachable worker counts as expired.
 * @property maxFailures failures on healthy workers after which a job is reported as failed.
 */
public data class JobSettings(
    val taskLeaseTtlMs: Long = 9_000,
    val reclaimGraceMs: Long = 1_000,
    val inboxPeriodMs: Long = 1_000,
    val ownershipPollMs: Long = 50,
    val probePeriodMs: Long = 1_000,
    val probeLimit: Int = 3,
    val passIntervalMs: Long = 50,
    val storeRetryMs: Long = 1_000,
    val leaseMarginMs: Long = 1_000,
    val maxFailures: Int = 3,
)
