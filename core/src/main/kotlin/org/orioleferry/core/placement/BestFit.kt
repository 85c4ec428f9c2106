package org.orioleferry.core.placement

import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.JobClassName

/**
 * Best-fit placement: takes the worker or rack with the least free capacity that fits, so that whole workers and racks
 * stay free for large gangs. Workers are reserved for the first job that does not fit; later jobs are backfilled onto
 * them only if the observed run times of their class end before the reservation.
 */
public val bestFit: PlacementPolicy = { fleet, waiting ->
    val pass = Pass(fleet)
    val failed = HashSet<Pair<Gang, JobClassName>>()
    var reservation: Reservation? = null
    for (job in waiting.sortedWith(waitingOrder)) {
        pass.steps.add(1)
        if (job.gang to job.jobClass in failed || !pass.isEligible(job)) continue
        val members = pass.findTightestFit(job, pass.space, reservation)
        if (members != null) {
            pass.start(job, members)
        } else {
            reservation = reservation ?: ReservationPlanner(fleet, pass.space, pass.steps).reserve(job)
            if (job.excludedWorkers.isEmpty()) failed += job.gang to job.jobClass
        }
    }
    pass.toPlan()
}

/** Finds the tightest fit for [job] in [space] on workers that [reservation] leaves to it, or null. */
internal fun Pass.findTightestFit(
    job: WaitingJob,
    space: FreeSpace,
    reservation: Reservation?,
): List<PlacementMember>? =
    space.find(job.gang, FitOrder.TIGHTEST) { it !in job.excludedWorkers && reservation?.isAllowed(job, it) != false }
