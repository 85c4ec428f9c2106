package org.orioleferry.scheduler.placement

import org.orioleferry.scheduler.ShortageSettings

/**
 * Times and work of a step that waits for room.
 *
 * @property nowMs time of the decision, Unix ms.
 * @property dueMs time by which the job should be done, Unix ms.
 * @property valueExpiryMs time after which the completion of the job has no value, Unix ms.
 * @property remainingMs estimated time from the start of the step to the end of the job, ms.
 * @property sinceAcceptedMs time since the job was accepted, ms.
 * @property workCoreMs work of the waiting tasks in core-ms, with an accelerator counted as 8 cores.
 * @property meanWorkCoreMs mean work of the steps of the queue in core-ms.
 * @property isGuaranteed whether the step is the first one of a job within the guarantee of its workspace.
 */
internal data class WaitingStep(
    val nowMs: Long,
    val dueMs: Long,
    val valueExpiryMs: Long,
    val remainingMs: Long,
    val sinceAcceptedMs: Long,
    val workCoreMs: Long,
    val meanWorkCoreMs: Long,
    val isGuaranteed: Boolean,
)

/**
 * Whether [step] has to start now, whatever has to be stopped for it: guaranteed work has to begin in a given time after
 * its acceptance.
 *
 * @param maxStopMs longest time that a worker takes to stop a run, ms.
 */
internal fun hasToStart(
    step: WaitingStep,
    maxStopMs: Long,
    shortage: ShortageSettings,
): Boolean = step.isGuaranteed && step.sinceAcceptedMs >= shortage.reclaimMs - maxStopMs - RECLAIM_MARGIN_MS

/**
 * Returns the work in core-ms that may be discarded by stopping other runs so that [step] can start, or
 * [Long.MAX_VALUE] when it has to start.
 *
 * Stopping others helps callers only if the step can then still end in time, or before its completion loses all value.
 * Otherwise the step waits for the next free room, which discards nothing. One that has waited for twice its objective may
 * stop others again, since other work may use each slot that frees.
 *
 * @param maxStopMs longest time that a worker takes to stop a run, ms.
 */
internal fun preemptionBudgetCoreMs(
    step: WaitingStep,
    maxStopMs: Long,
    shortage: ShortageSettings,
): Long {
    if (hasToStart(step, maxStopMs, shortage)) return Long.MAX_VALUE
    val countedWork = maxOf(step.workCoreMs, step.meanWorkCoreMs / MIN_WORK_DIVISOR)
    val endsMs = step.nowMs + maxStopMs + (step.remainingMs * OPTIMISTIC_RUN_SHARE).toLong()
    val expiresSoon = endsMs <= step.valueExpiryMs && step.valueExpiryMs - endsMs < EXPIRY_WARNING_MS
    return when {
        endsMs <= step.dueMs -> countedWork * VALUE_PER_WORK
        expiresSoon -> countedWork
        hasWaitedLong(step) -> countedWork * VALUE_PER_WORK
        else -> 0
    }
}

/** Whether [step] has waited for twice the objective of its job. */
internal fun hasWaitedLong(step: WaitingStep): Boolean {
    val objectiveMs = step.dueMs - (step.nowMs - step.sinceAcceptedMs)
    return step.sinceAcceptedMs > 2 * objectiveMs
}

/** Mean work of the steps of each queue in core-ms, over all steps that have become ready in the term. */
internal class QueueWork {
    private class Mean(
        var count: Int = 0,
        var sum: Double = 0.0,
    )

    private val meansByQueue = HashMap<String, Mean>()

    fun record(
        queue: String,
        coreMs: Long,
    ) {
        val mean = meansByQueue.getOrPut(queue) { Mean() }
        mean.count++
        mean.sum += coreMs
    }

    fun meanOf(queue: String): Long = meansByQueue[queue]?.let { (it.sum / it.count).toLong() } ?: 0
}

// Callers value the completion of urgent work in time at several times the same work of others, which is only delayed.
private const val VALUE_PER_WORK = 4L

// A small job is worth more for its work than a large one, so its work counts as at least a quarter of the mean.
private const val MIN_WORK_DIVISOR = 4L

// Covers a pass, the way of the stop and of the start, and the listing of the end.
private const val RECLAIM_MARGIN_MS = 1_000L

// Callers value a late completion only until it expires, so the last second is used to start after all.
private const val EXPIRY_WARNING_MS = 1_000L
