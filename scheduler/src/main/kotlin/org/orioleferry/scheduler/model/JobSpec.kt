package org.orioleferry.scheduler.model

import kotlinx.serialization.Serializable

/** Amounts of a worker's room: thousandths of a core, megabytes and whole accelerators. */
@Serializable
public data class Resources(
    val cpuMillis: Int = 0,
    val memoryMb: Int = 0,
    val accelerators: Int = 0,
) {
    public operator fun plus(other: Resources): Resources =
        Resources(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators)

    public operator fun minus(other: Resources): Resources =
        Resources(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators)

    public operator fun times(count: Int): Resources =
        Resources(cpuMillis * count, memoryMb * count, accelerators * count)

    /** Whether this amount is available in [room]. */
    public fun fitsIn(room: Resources): Boolean =
        cpuMillis <= room.cpuMillis && memoryMb <= room.memoryMb && accelerators <= room.accelerators

    /** How many tasks that need [need] this amount holds, at most [limit]. */
    public fun holds(
        need: Resources,
        limit: Int,
    ): Int =
        minOf(
            limit,
            quotient(cpuMillis, need.cpuMillis),
            quotient(memoryMb, need.memoryMb),
            quotient(accelerators, need.accelerators),
        )

    private fun quotient(
        have: Int,
        need: Int,
    ): Int = if (need <= 0) Int.MAX_VALUE else maxOf(0, have) / need
}

/**
 * A step of a job: [count] tasks of one shape.
 *
 * @property estimateMs the caller's rough estimate of a task's duration, in ms.
 * @property after numbers of earlier steps that must be done first.
 * @property isGang whether the tasks run only together, end together and share one checkpoint.
 * @property sameRack whether the tasks take a multiple of their time when they run in more than one rack.
 * @property label label that a worker must have, or empty.
 * @property dataRack rack that holds the data, or empty; other racks take a multiple of the time.
 * @property maxPerWorker most tasks of the step on one worker, or 0 for no limit.
 * @property allowsCopies whether several runs of one task may exist at a time.
 * @property isLasting whether the tasks run until the job is cancelled.
 * @property latencyTargetMs tail latency that a serving task has to keep, or 0.
 * @property usesSpareCpu whether the processor time of the tasks is not counted against the worker.
 * @property maxUnavailable most lasting tasks that the scheduler may take away at a time, or 0 for no limit.
 */
@Serializable
public data class StepSpec(
    val count: Int,
    val need: Resources,
    val estimateMs: Long = 0,
    val after: List<Int> = emptyList(),
    val savesProgress: Boolean = false,
    val isGang: Boolean = false,
    val sameRack: Boolean = false,
    val label: String = "",
    val dataRack: String = "",
    val maxPerWorker: Int = 0,
    val allowsCopies: Boolean = false,
    val isLasting: Boolean = false,
    val image: String = "",
    val latencyTargetMs: Int = 0,
    val usesSpareCpu: Boolean = false,
    val maxUnavailable: Int = 0,
)

/** Times at which the steps of a job run: occurrence k is due at [firstDueMs] + k x [periodMs] (Unix ms). */
@Serializable
public data class JobSchedule(
    val firstDueMs: Long,
    val periodMs: Long,
    val occurrences: Int,
) {
    public fun dueMs(occurrence: Int): Long = firstDueMs + occurrence * periodMs
}

/** What a caller hands in. [payload] is passed on to the workers unchanged. */
@Serializable
public data class JobSpec(
    val id: String,
    val queue: String,
    val service: String,
    val workspace: String,
    val payload: String,
    val steps: List<StepSpec>,
    val schedule: JobSchedule? = null,
) {
    /** How many times the steps run. */
    val occurrences: Int get() = schedule?.occurrences ?: 1

    /** Sum of the estimates along the longest chain of steps, in ms. */
    val longestChainMs: Long
        get() {
            val ends = LongArray(steps.size)
            steps.forEachIndexed { at, step -> ends[at] = step.estimateMs + (step.after.maxOfOrNull { ends[it] } ?: 0) }
            return ends.maxOrNull() ?: 0
        }

    /** Sum of the estimates along the longest chain that begins with [step], in ms. */
    public fun chainFromMs(step: Int): Long =
        steps[step].estimateMs +
            (steps.indices.filter { step in steps[it].after }.maxOfOrNull { chainFromMs(it) } ?: 0)
}

/** The stored acceptance of a job; the accepting instance writes it, a cancellation changes it. */
@Serializable
public data class AcceptedJob(
    val spec: JobSpec,
    val acceptedMs: Long,
    val isCancelled: Boolean = false,
)
