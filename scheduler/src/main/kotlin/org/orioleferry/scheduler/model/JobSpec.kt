package org.orioleferry.scheduler.model

import kotlinx.serialization.Serializable

/** Amounts of a worker's resources: thousandths of a core, megabytes and whole accelerators. */
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

    /** Whether [available] has at least this amount of each resource. */
    public fun fitsIn(available: Resources): Boolean =
        cpuMillis <= available.cpuMillis && memoryMb <= available.memoryMb && accelerators <= available.accelerators

    /** Whether a part is below 0, as on a worker whose runs need more than its capacity. */
    public val isOverdrawn: Boolean get() = cpuMillis < 0 || memoryMb < 0 || accelerators < 0

    /** Returns how many tasks that need [need] each fit into this amount, at most [limit]; none if it is overdrawn. */
    public fun countFitting(
        need: Resources,
        limit: Int,
    ): Int =
        if (isOverdrawn) {
            0
        } else {
            minOf(
                limit,
                quotient(cpuMillis, need.cpuMillis),
                quotient(memoryMb, need.memoryMb),
                quotient(accelerators, need.accelerators),
            )
        }

    private fun quotient(
        have: Int,
        need: Int,
    ): Int = if (need <= 0) Int.MAX_VALUE else have / need
}

/**
 * A step of a job: [count] tasks with the same requirements.
 *
 * @property estimateMs the caller's rough estimate of a task's duration, in ms.
 * @property after indexes of earlier steps that must be done first.
 * @property savesProgress whether the tasks save checkpoints from which a later attempt continues.
 * @property isGang whether the tasks run only together, end together and share one checkpoint.
 * @property sameRack whether the tasks take several times as long when they run in more than one rack.
 * @property label label that a worker must have, or empty.
 * @property dataRack rack that holds the data, or empty; tasks in other racks take several times as long.
 * @property maxPerWorker most tasks of the step on one worker, or 0 for no limit.
 * @property allowsCopies whether a task may have several runs at a time.
 * @property isLasting whether the tasks run until the job is cancelled.
 * @property latencyTargetMs tail latency target of a serving task in ms, or 0.
 * @property usesSpareCpu whether the processor time of the tasks is not counted against the worker.
 * @property maxUnavailable most lasting tasks that the scheduler may stop at a time, or 0 for no limit.
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
) {
    /** Resources allocated to a task; a step that uses only spare processor time is allocated none of it. */
    val countedNeed: Resources get() = if (usesSpareCpu) need.copy(cpuMillis = 0) else need
}

/** Schedule of a recurring job: occurrence k is due at [firstDueMs] + k x [periodMs] (Unix ms). */
@Serializable
public data class JobSchedule(
    val firstDueMs: Long,
    val periodMs: Long,
    val occurrences: Int,
) {
    public fun dueMs(occurrence: Int): Long = firstDueMs + occurrence * periodMs
}

/**
 * A job as a caller submits it. [payload] is passed to the workers unchanged. [policy] is that of the queue at the
 * submission, null in jobs that were stored without one.
 */
@Serializable
public data class JobSpec(
    val id: String,
    val queue: String,
    val service: String,
    val workspace: String,
    val payload: String,
    val steps: List<StepSpec>,
    val schedule: JobSchedule? = null,
    val policy: QueuePolicy? = null,
) {
    /** Number of times that the steps run. */
    val occurrences: Int get() = schedule?.occurrences ?: 1

    /**
     * For each step, the sum of the estimates along the longest chain that begins with it. Steps only follow earlier
     * ones, so one pass from the last step to the first visits each edge once.
     */
    private val chainsFromMs: LongArray by lazy {
        val longestAfter = LongArray(steps.size)
        for (index in steps.indices.reversed()) {
            val chainMs = steps[index].estimateMs + longestAfter[index]
            steps[index].after.forEach { longestAfter[it] = maxOf(longestAfter[it], chainMs) }
        }
        LongArray(steps.size) { steps[it].estimateMs + longestAfter[it] }
    }

    /** Sum of the estimates along the longest chain of steps, in ms. */
    val longestChainMs: Long get() = chainsFromMs.maxOrNull() ?: 0

    /** Returns the sum of the estimates along the longest chain that begins with [step], in ms. */
    public fun chainFromMs(step: Int): Long = chainsFromMs[step]
}

/**
 * Stored under the id of a job that was cancelled before it was stored, so that a submission which is still under way
 * cannot take effect. [cancelledMs] is Unix ms.
 */
@Serializable
public data class CancelledSubmission(
    val workspaces: Set<String>,
    val cancelledMs: Long,
)

/**
 * Stored record of an accepted job, written by the accepting instance and updated by a cancellation. [acceptedMs] is
 * Unix ms.
 */
@Serializable
public data class AcceptedJob(
    val spec: JobSpec,
    val acceptedMs: Long,
    val isCancelled: Boolean = false,
)
