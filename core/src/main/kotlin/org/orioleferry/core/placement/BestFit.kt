package org.orioleferry.core.placement

import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.JobClassName

/**
 * Takes the tightest worker or rack, so that whole workers and racks stay free for large gangs. Workers are reserved
 * for the first job that does not fit; later jobs use them only when their class's observed run times end in time.
 */
public val bestFit: PlacementPolicy = { fleet, waiting ->
    val pass = Pass(fleet)
    val failed = HashSet<Pair<Gang, JobClassName>>()
    var reservation: Reservation? = null
    for (job in waiting.sortedWith(waitingOrder)) {
        pass.steps.add(1)
        if (job.gang to job.jobClass in failed || !pass.isEligible(job)) continue
        val members = pass.findTight(job, pass.space, reservation)
        if (members != null) {
            pass.start(job, members)
        } else {
            reservation = reservation ?: ReservationPlanner(fleet, pass.space, pass.steps).reserve(job)
            if (job.avoid.isEmpty()) failed += job.gang to job.jobClass
        }
    }
    pass.toPlan()
}

/** The tightest fit for [job] in [space] outside what [reservation] keeps from it. */
internal fun Pass.findTight(
    job: WaitingJob,
    space: FreeSpace,
    reservation: Reservation?,
): List<PlacementMember>? =
    space.find(job.gang, FitOrder.TIGHTEST) { it !in job.avoid && reservation?.allows(job, it) != false }
