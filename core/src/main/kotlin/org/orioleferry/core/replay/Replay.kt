package org.orioleferry.core.replay

import org.orioleferry.core.placement.PlacementPolicy

/**
 * Runs [jobs] through [policy] in virtual time on idle fleets of [deployment].
 *
 * The model is simplified: workers never fail, a start takes no time, and a job that is stopped for another keeps the
 * work done until its checkpoint was requested. Data centres are independent, as in the daemon.
 */
public fun replay(
    deployment: Deployment,
    jobs: List<StreamJob>,
    policy: PlacementPolicy,
): ReplayResult {
    val assigned = assignDataCentres(deployment.dataCentres, jobs.sortedBy { it.submittedMs })
    val horizonMs = assigned.maxOfOrNull { it.submittedMs } ?: 0
    val results =
        deployment.dataCentres.map { dataCentre ->
            DataCentreReplay(deployment, dataCentre, policy, horizonMs)
                .run(assigned.filter { it.dataCentre == dataCentre })
        }
    val samples = results.map { it.samples }.reduce { all, more -> all.zip(more, ::add) }
    return ReplayResult(results.flatMap { it.jobs }, samples, results.sumOf { it.steps })
}

/** Adds the samples of two data centres at the same moment. The probe gang needs room in only one of them. */
private fun add(
    one: ReplaySample,
    other: ReplaySample,
): ReplaySample =
    ReplaySample(
        timeMs = one.timeMs,
        capacity = one.capacity + other.capacity,
        used = one.used + other.used,
        waiting = one.waiting + other.waiting,
        waitingJobs = one.waitingJobs + other.waitingJobs,
        scattered = one.scattered + other.scattered,
        probeStarts = one.probeStarts || other.probeStarts,
    )
