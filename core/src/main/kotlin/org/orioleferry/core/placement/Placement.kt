package org.orioleferry.core.placement

import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.Guarantee
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.WorkspaceName

/**
 * A worker in the snapshot for a placement pass.
 *
 * @property accelerators capacity.
 * @property free accelerators that no gang holds.
 * @property isUsable whether new work may go there; an unusable worker does not count for guarantees either.
 */
public data class PlacementWorker(
    val id: WorkerId,
    val rack: String,
    val accelerators: Int,
    val free: Int = accelerators,
    val isUsable: Boolean = true,
)

/** One task of a gang on its worker. */
public data class PlacementMember(
    val worker: WorkerId,
    val accelerators: Int,
)

/**
 * A gang that holds accelerators.
 *
 * @property startedMs start, on the clock of [FleetSnapshot.nowMs].
 * @property lostWorkMs accelerator-milliseconds of work that stopping the gang now would lose.
 * @property isStopping whether the gang is already being stopped.
 */
public data class PlacedGang(
    val jobId: JobId,
    val workspace: WorkspaceName,
    val jobClass: JobClassName,
    val urgency: Int,
    val isPreemptible: Boolean,
    val members: List<PlacementMember>,
    val startedMs: Long = 0,
    val lostWorkMs: Long = 0,
    val isStopping: Boolean = false,
) {
    /** Accelerators of the whole gang. */
    public val accelerators: Int get() = members.sumOf { it.accelerators }
}

/** A job that waits for a placement. [excludedWorkers] lists workers on which it has failed. */
public data class WaitingJob(
    val jobId: JobId,
    val workspace: WorkspaceName,
    val jobClass: JobClassName,
    val gang: Gang,
    val urgency: Int,
    val isPreemptible: Boolean,
    val submittedMs: Long = 0,
    val excludedWorkers: Set<WorkerId> = emptySet(),
)

/** Observed run times of a class in milliseconds: the median and the 90th percentile of [count] finished jobs. */
public data class RunTimes(
    val medianMs: Long,
    val p90Ms: Long,
    val count: Int,
)

/**
 * The state of one data centre at the start of a pass.
 *
 * @property guarantees guaranteed shapes of this data centre for each workspace.
 * @property quotas most accelerators that a workspace may hold in this data centre.
 * @property reclaims reclaims in progress, whose members are held for their beneficiaries.
 */
public data class FleetSnapshot(
    val dataCentre: DataCentre,
    val nowMs: Long,
    val workers: List<PlacementWorker>,
    val gangs: List<PlacedGang> = emptyList(),
    val guarantees: Map<WorkspaceName, List<Guarantee>> = emptyMap(),
    val quotas: Map<WorkspaceName, Int> = emptyMap(),
    val runTimes: Map<JobClassName, RunTimes> = emptyMap(),
    val reclaims: List<PlannedReclaim> = emptyList(),
)

/** A gang to be started on [members]. */
public data class PlannedStart(
    val jobId: JobId,
    val members: List<PlacementMember>,
)

/**
 * A reclaim: [victims] are stopped, then [beneficiary] starts on [members]. Several reclaims may list the same victim.
 */
public data class PlannedReclaim(
    val beneficiary: JobId,
    val workspace: WorkspaceName,
    val members: List<PlacementMember>,
    val victims: List<JobId>,
)

/**
 * Result of a placement pass.
 *
 * @property steps counted elementary steps, a measure of cost that does not depend on the machine.
 */
public data class PlacementPlan(
    val starts: List<PlannedStart>,
    val reclaims: List<PlannedReclaim> = emptyList(),
    val steps: Long = 0,
)

/** A pure function that decides which waiting jobs start on which workers: the same arguments give the same plan. */
public typealias PlacementPolicy = (fleet: FleetSnapshot, waiting: List<WaitingJob>) -> PlacementPlan
