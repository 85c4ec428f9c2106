package org.orioleferry.scheduler.placement

/**
 * Position of a step among the waiting steps of its rank: higher [precedence] goes first, then the most value for the work
 * that is left, and work of the same value by due time.
 *
 * @property precedence class of the step, 0 unless classes are told apart.
 * @property valueForWork value of the job's completion, as a share of the value of a completion in time, divided by the
 *   share of the job's work that still waits for a worker. The size of a job does not matter.
 * @property dueMs time by which the job should be done according to its completion objective, Unix ms.
 */
internal data class QueuePosition(
    val valueForWork: Double,
    val dueMs: Long,
    val precedence: Int = 0,
) : Comparable<QueuePosition> {
    override fun compareTo(other: QueuePosition): Int =
        compareValuesBy(this, other, { -it.precedence }, { -it.valueForWork }, { it.dueMs })
}

/**
 * Returns the position of a job that has begun [1 - waitingShare][waitingShare] of its work.
 *
 * Jobs that can only end late come after those that can end in time, since starting late jobs first makes other jobs
 * late as well. A job that is mostly begun goes before others, since its completion takes the least further work:
 * under lasting load accelerators that are spread over all jobs complete none of them.
 *
 * @param valueExpiryMs time after which the completion of the job has no value, Unix ms.
 * @param remainingMs estimated remaining time of the job if it starts now, ms.
 * @param waitingShare share of the job's work that is neither done nor running, above 0 and at most 1.
 */
internal fun queuePositionOf(
    nowMs: Long,
    dueMs: Long,
    valueExpiryMs: Long,
    remainingMs: Long,
    waitingShare: Double,
): QueuePosition {
    val endsMs = nowMs + (remainingMs * OPTIMISTIC_RUN_SHARE).toLong()
    val value =
        when {
            endsMs <= dueMs -> 1.0
            endsMs <= valueExpiryMs -> LATE_VALUE
            else -> 0.0
        }
    return QueuePosition(value / waitingShare, dueMs)
}

/**
 * Returns the position of [step] by what its delay costs, given the position [base] by due time and waiting work.
 *
 * A delay costs most for a step that can still end in time, so these go first; a step that has waited for twice its
 * objective goes before the others of its class, which bounds every wait. Within a class the value of a job for its work
 * decides. Callers value a job by a fixed part and a part that grows with its work, so small jobs go first.
 */
internal fun queuePositionByDelayCost(
    base: QueuePosition,
    step: WaitingStep,
): QueuePosition {
    val endsMs = step.nowMs + (step.remainingMs * OPTIMISTIC_RUN_SHARE).toLong()
    val valueClass =
        when {
            endsMs <= step.dueMs -> 2
            endsMs <= step.valueExpiryMs -> 1
            else -> 0
        }
    val relativeWork = maxOf(MIN_RELATIVE_WORK, step.workCoreMs / maxOf(1.0, step.meanWorkCoreMs.toDouble()))
    return base.copy(
        precedence = 2 * valueClass + if (hasWaitedLong(step)) 1 else 0,
        valueForWork = base.valueForWork * (WORK_VALUE_SHARE + FIXED_VALUE_SHARE / relativeWork),
    )
}

// A job's value: a fixed share, and the rest in proportion to its work.
private const val FIXED_VALUE_SHARE = 0.3
private const val WORK_VALUE_SHARE = 0.7
private const val MIN_RELATIVE_WORK = 0.1

// Estimates are off by a fifth to a half, so a job counts as late only if even this share of its estimate ends late.
internal const val OPTIMISTIC_RUN_SHARE = 0.7

// Callers value a late completion at a fifth to a third of one in time.
private const val LATE_VALUE = 0.3
