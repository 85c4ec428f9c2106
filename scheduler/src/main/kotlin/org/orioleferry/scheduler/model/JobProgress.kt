package org.orioleferry.scheduler.model

import kotlinx.serialization.Serializable

/** State of a job as reported to callers. */
@Serializable
public enum class JobState {
    QUEUED,
    RUNNING,
    COMPLETED,
    FAILED,
    CANCELLED,
    ;

    /** Whether the state is final. */
    public val isEnded: Boolean get() = this == COMPLETED || this == FAILED || this == CANCELLED
}

/** Latest recorded start of a task. [worker] is empty once the run is known to have ended. */
@Serializable
public data class StartedRun(
    val attempt: Int,
    val worker: String = "",
)

/**
 * Stored progress of one step in one occurrence of its job.
 *
 * @property isDone whether all tasks are done; [done] is empty then.
 * @property done indexes of the tasks that are done.
 * @property failures numbers of the failed attempts by task index; numbers instead of a count, so that an end which a
 *   worker lists twice is counted once.
 * @property checkpoints latest known checkpoint by task index.
 * @property started latest start by task index; it is stored before the start order is sent.
 */
@Serializable
public data class StepProgress(
    val occurrence: Int,
    val step: Int,
    val isDone: Boolean = false,
    val done: List<Int> = emptyList(),
    val failures: Map<Int, List<Int>> = emptyMap(),
    val checkpoints: Map<Int, String> = emptyMap(),
    val started: Map<Int, StartedRun> = emptyMap(),
)

/** Progress of a job, stored by the owner. [endedMs] is Unix ms, 0 while the job has not ended. */
@Serializable
public data class JobProgress(
    val state: JobState,
    val steps: List<StepProgress> = emptyList(),
    val endedMs: Long = 0,
    val workspace: String = "",
)
