package org.orioleferry.core.gang

import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.core.model.Member
import org.orioleferry.core.model.WorkerId

/** What the owner knows of a member's task. */
public enum class MemberPhase {
    /** Nothing was sent to the worker yet, or the worker refused the reservation. */
    ABSENT,

    /** The accelerators are reserved, or the answer to the reservation is missing. */
    RESERVED,

    /** The task runs as far as known. */
    RUNNING,

    /** The worker reported that the task ran to its end. */
    DONE,

    /** The worker reported that the task failed. */
    FAILED,

    /** The worker stopped answering or no longer knows the lease; the task may have ended in any way. */
    LOST,

    /** The worker confirmed that it stopped the task before its end. */
    STOPPED,
    ;

    /** Whether the task may have run to its end. */
    public val mayBeDone: Boolean get() = this == DONE || this == LOST
}

/** One member with what is known of it. [completedMs] is the work that its checkpoint keeps. */
public data class MemberObservation(
    val member: Member,
    val phase: MemberPhase,
    val completedMs: Long = 0,
)

/** Why a gang is stopped. */
public sealed interface StopCause {
    /** Text for the row and the time line. */
    public val reason: String

    /** A worker refused the reservation or the start, or did not answer it. */
    public data class NotStarted(
        val worker: WorkerId,
        val detail: String,
    ) : StopCause {
        override val reason: String get() = "worker $worker did not start its member: $detail"
    }

    /** A member's worker stopped answering, or its lease lapsed. */
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
    public data object Watch : GangStep

    /** All members have finished. */
    public data object Finish : GangStep

    /** The gang is stopped whole. */
    public data class Stop(
        val cause: StopCause,
    ) : GangStep
}

/** Decides the next step of a started gang. A lost or failed member stops all others, so that no gang runs partially. */
public fun nextStep(members: List<MemberObservation>): GangStep {
    val failed = members.filter { it.phase == MemberPhase.FAILED }
    val lost = members.filter { it.phase != MemberPhase.RUNNING && it.phase != MemberPhase.DONE }
    return when {
        members.all { it.phase == MemberPhase.DONE } -> GangStep.Finish
        failed.isNotEmpty() -> GangStep.Stop(StopCause.TaskFailed(failed.map { it.member.worker }))
        lost.isNotEmpty() -> GangStep.Stop(StopCause.MemberLost(lost.map { it.member.worker }))
        else -> GangStep.Watch
    }
}

/** The row before the reservation of [members]. */
public fun JobRecord.toStarting(
    members: List<Member>,
    epoch: Epoch,
): JobRecord =
    copy(state = JobState.STARTING, members = members, epoch = epoch, finishedLeases = emptyList(), reason = null)

/** The row once all members run. */
public fun JobRecord.toRunning(
    epoch: Epoch,
    wallMs: Long,
): JobRecord = copy(state = JobState.RUNNING, epoch = epoch, startedWallMs = startedWallMs ?: wallMs)

/** The row while the members are stopped. Workers whose task failed count towards the job's failures. */
public fun JobRecord.toStopping(cause: StopCause): JobRecord =
    copy(
        state = JobState.STOPPING,
        reason = cause.reason,
        failedWorkers = failedWorkers + ((cause as? StopCause.TaskFailed)?.workers?.distinct() ?: emptyList()),
    )

/** The final row of a job whose members have all finished. */
public fun JobRecord.toDone(wallMs: Long): JobRecord =
    copy(
        state = JobState.DONE,
        completedMs = workMs,
        endedWallMs = wallMs,
        reason = null,
        finishedLeases = members.map { it.leaseId },
    )

/** The final row of a job that will not run again because of [reason]. */
public fun JobRecord.toFailed(
    reason: String,
    wallMs: Long,
): JobRecord = copy(state = JobState.FAILED, reason = reason, endedWallMs = wallMs)

/** The final row of a cancelled job. */
public fun JobRecord.toCancelled(wallMs: Long): JobRecord =
    copy(state = JobState.CANCELLED, reason = StopCause.Cancelled.reason, endedWallMs = wallMs)

/**
 * Rules for the row after a stop.
 *
 * @property isIdempotent whether the job may run again although it may have run to its end.
 * @property maxFailures failures on healthy workers after which the failure is attributed to the job.
 */
public data class StopRules(
    val isIdempotent: Boolean,
    val maxFailures: Int,
    val isHealthy: (WorkerId) -> Boolean,
)

/** The row once no member of the gang can run any more: queued again, cancelled, failed, or done if all had finished. */
public fun JobRecord.afterStop(
    members: List<MemberObservation>,
    rules: StopRules,
    wallMs: Long,
): JobRecord {
    val failures = failedWorkers.count(rules.isHealthy)
    val mayHaveRun = members.isNotEmpty() && members.all { it.phase.mayBeDone }
    return when {
        members.isNotEmpty() && members.all { it.phase == MemberPhase.DONE } -> toDone(wallMs)
        mayHaveRun && !rules.isIdempotent -> toFailed("outcome unknown: the job may have run to its end", wallMs)
        cancelRequested -> toCancelled(wallMs)
        failures >= rules.maxFailures -> toFailed("$reason; failed on $failures healthy workers", wallMs)
        else -> toQueued(members)
    }
}

private fun JobRecord.toQueued(members: List<MemberObservation>): JobRecord {
    val keptMs = members.minOfOrNull { it.completedMs } ?: 0
    return copy(
        state = JobState.QUEUED,
        attempt = attempt + 1,
        members = emptyList(),
        finishedLeases = emptyList(),
        completedMs = (completedMs + keptMs).coerceAtMost(workMs),
    )
}
