package org.orioleferry.core.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The accelerators that a job needs at once: [members] tasks with [acceleratorsPerMember] each. */
@Serializable
public data class Gang(
    val members: Int,
    val acceleratorsPerMember: Int,
    val adjacency: Adjacency = Adjacency.DATA_CENTRE,
) {
    /** Accelerators of the whole gang. */
    public val accelerators: Int get() = members * acceleratorsPerMember
}

/** State in the life cycle of a job. */
@Serializable
public enum class JobState {
    @SerialName("queued")
    QUEUED,

    @SerialName("starting")
    STARTING,

    @SerialName("running")
    RUNNING,

    @SerialName("stopping")
    STOPPING,

    @SerialName("done")
    DONE,

    @SerialName("failed")
    FAILED,

    @SerialName("cancelled")
    CANCELLED,
    ;

    /** Whether the job will never run again. */
    public val isFinal: Boolean get() = this == DONE || this == FAILED || this == CANCELLED
}

/** One task of a gang: the lease that it holds and the worker that granted it. */
@Serializable
public data class Member(
    val leaseId: String,
    val worker: WorkerId,
    val accelerators: Int,
)

/**
 * The row of a job in the table `jobs`, stored under [key].
 *
 * @property declaredRunMs run time that the caller declares, in milliseconds; guarantees never rely on it.
 * @property workMs run time that the stand-in worker simulates, in milliseconds.
 * @property attempt number of the current or next attempt to run the job, from 1.
 * @property failedWorkers healthy workers on which the job has failed.
 * @property finishedLeases leases of members of this attempt that are known to have run to their end.
 * @property completedMs work saved by checkpoints of earlier attempts, in milliseconds.
 */
@Serializable
public data class JobRecord(
    val jobId: JobId,
    val workspace: WorkspaceName,
    val caller: String,
    val jobClass: JobClassName,
    val gang: Gang,
    val declaredRunMs: Long,
    val workMs: Long,
    val submittedWallMs: Long,
    val state: JobState = JobState.QUEUED,
    val attempt: Int = 1,
    val epoch: Epoch = Epoch.NONE,
    val members: List<Member> = emptyList(),
    val failedWorkers: List<WorkerId> = emptyList(),
    val finishedLeases: List<String> = emptyList(),
    val completedMs: Long = 0,
    val startedWallMs: Long? = null,
    val endedWallMs: Long? = null,
    val cancelRequested: Boolean = false,
    val reason: String? = null,
) {
    /** Key of the row. */
    public val key: String get() = keyOf(jobId)

    public companion object {
        /** Key of the row of [jobId]: `<dataCentre>/<jobId>`. */
        public fun keyOf(jobId: JobId): String = "${jobId.dataCentre}/$jobId"
    }
}
