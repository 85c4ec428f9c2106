package org.orioleferry.core.gang

import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.core.model.Member
import org.orioleferry.core.model.WorkerId

/** State of a member's task as far as the owner knows it. */
public enum class MemberPhase {
    /** No reservation was sent to the worker yet, or the worker refused it. */
    ABSENT,

    /** The accelerators are reserved, or the answer to the reservation is missing. */
    RESERVED,

    /** The task is running as far as the owner knows. */
    RUNNING,

    /** The worker reported that the task ran to its end. */
    DONE,

    /** The worker reported that the task failed. */
    FAILED,

    /** The worker stopped answering or no longer knows the lease; whether and how the task ended is unknown. */
    LOST,

    /** The worker confirmed that it stopped the task before its end. */
    STOPPED,
    ;

    /** Whether the task may have run to its end. */
    public val isPossiblyDone: Boolean get() = this == DONE || this == LOST
}

/** A member and the known state of its task. [completedMs] is the work saved by its checkpoint, in milliseconds. */
public data class MemberObservation(
    val member: Member,
    val phase: MemberPhase,
    val completedMs: Long = 0,
)

/** Why a gang is stopped. */
public sealed interface StopCause {
    /** Text stored in the job's row and shown in the event timeline. */
    public val reason: String

    /** A worker refused the reservation or the start, or did not answer it. */
    public data class NotStarted(
        val worker: WorkerId,
        val detail: String,
    ) : StopCause {
        override val reason: String get() = "worker $worker did not start its member: $detail"
    }

    /** A member's worker stopped answering, or its lease expired. */
    public data class MemberLost(
        val workers: List<WorkerId>,
    ) : StopCause {
        override val reason: String get() = "members lost on ${workers.joinToString()}"
    }

    /** A member's task failed. */
    public data class TaskFailed(
        val workers: List<WorkerId>,
    ) : StopCause {
        override val reason: String get() = "task failed on ${workers.joinToString()}"
    }

    /** The accelerators are needed for another job. */
    public data class Preempted(
        val beneficiary: String,
    ) : StopCause {
        override val reason: String get() = "preempted for $beneficiary"
    }

    /** The caller cancelled the job. */
    public data object Cancelled : StopCause {
        override val reason: String get() = "cancelled"
    }

    /** A new owner found the gang in a state that it cannot complete. */
    public data object Recovered : StopCause {
        override val reason: String get() = "stopped after a change of owner"
    }
}

/** What the owner does next with a gang whose members were started. */
public sealed interface GangStep {
    /** All members run or have finished. */
    public data object Monitor : GangStep

    /** All members have finished. */
    public data object Finish : GangStep

    /** All members of the gang are stopped. */
    public data class Stop(
        val cause: StopCause,
    ) : GangStep
}

/** Decides the next step of a started gang. A lost or failed member stops all others, so no gang runs partially. */
public fun decideNextStep(members: List<MemberObservation>): GangStep {
    val failed = members.filter { it.phase == MemberPhase.FAILED }
    val lost = members.filter { it.phase != MemberPhase.RUNNING && it.phase != MemberPhase.DONE }
    return when {
        members.all { it.phase == MemberPhase.DONE } -> GangStep.Finish
        failed.isNotEmpty() -> GangStep.Stop(StopCause.TaskFailed(failed.map { it.member.worker }))
        lost.isNotEmpty() -> GangStep.Stop(StopCause.MemberLost(lost.map { it.member.worker }))
        else -> GangStep.Monitor
    }
}

/** Returns the row to store before [members] are reserved. */
public fun JobRecord.toStarting(
    members: List<Member>,
    epoch: Epoch,
): JobRecord =
    copy(state = JobState.STARTING, members = members, epoch = epoch, finishedLeases = emptyList(), reason = null)

/** Returns the row to store once all members run. */
public fun JobRecord.toRunning(
    epoch: Epoch,
    wallMs: Long,
): JobRecord = copy(state = JobState.RUNNING, epoch = epoch, startedWallMs = startedWallMs ?: wallMs)

/**
 * Returns the row to store while members are being stopped. Workers whose task failed count towards the job's failures.
 */
public fun JobRecord.toStopping(cause: StopCause): JobRecord =
    copy(
        state = JobState.STOPPING,
        reason = cause.reason,
        failedWorkers = failedWorkers + ((cause as? StopCause.TaskFailed)?.workers?.distinct() ?: emptyList()),
    )

/** Returns the final row of a job whose members have all finished. */
public fun JobRecord.toDone(wallMs: Long): JobRecord =
    copy(
        state = JobState.DONE,
        completedMs = workMs,
        endedWallMs = wallMs,
        reason = null,
        finishedLeases = members.map { it.leaseId },
    )

/** Returns the final row of a job that will not run again because of [reason]. */
public fun JobRecord.toFailed(
    reason: String,
    wallMs: Long,
): JobRecord = copy(state = JobState.FAILED, reason = reason, endedWallMs = wallMs)

/** Returns the final row of a cancelled job. */
public fun JobRecord.toCancelled(wallMs: Long): JobRecord =
    copy(state = JobState.CANCELLED, reason = StopCause.Cancelled.reason, endedWallMs = wallMs)

/**
 * Rules for the state of a job after its gang was stopped.
 *
 * @property isIdempotent whether the job may run again although it may have run to its end already.
 * @property maxFailures number of failures on healthy workers at which the failure is attributed to the job.
 */
public data class StopRules(
    val isIdempotent: Boolean,
    val maxFailures: Int,
    val isHealthy: (WorkerId) -> Boolean,
)

/**
 * Returns the row to store once no member of the gang can run any more: queued again, cancelled, failed, or done when
 * all members had finished.
 */
public fun JobRecord.toStopped(
    members: List<MemberObservation>,
    rules: StopRules,
    wallMs: Long,
): JobRecord {
    val failures = failedWorkers.count(rules.isHealthy)
    val isPossiblyDone = members.isNotEmpty() && members.all { it.phase.isPossiblyDone }
    return when {
        members.isNotEmpty() && members.all { it.phase == MemberPhase.DONE } -> toDone(wallMs)
        isPossiblyDone && !rules.isIdempotent -> toFailed("outcome unknown: the job may have run to its end", wallMs)
        cancelRequested -> toCancelled(wallMs)
        failures >= rules.maxFailures -> toFailed("$reason; failed on $failures healthy workers", wallMs)
        else -> toQueued(members)
    }
}

private fun JobRecord.toQueued(members: List<MemberObservation>): JobRecord {
    val checkpointedMs = members.minOfOrNull { it.completedMs } ?: 0
    return copy(
        state = JobState.QUEUED,
        attempt = attempt + 1,
        members = emptyList(),
        finishedLeases = emptyList(),
        completedMs = (completedMs + checkpointedMs).coerceAtMost(workMs),
    )
}
