package org.orioleferry.scheduler.model

import kotlinx.serialization.Serializable

/** State of a job as callers see it. */
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

/** The newest start of a task that was decided. [worker] is empty once the run is known to have ended. */
@Serializable
public data class StartedRun(
    val attempt: Int,
    val worker: String = "",
)

/**
 * What is stored of one step of one occurrence.
 *
 * @property isDone whether all tasks are done; [done] is empty then.
 * @property failures attempts that failed, by task index; the numbers keep an end that is listed twice from counting twice.
 * @property checkpoints newest known checkpoint by task index.
 * @property started newest start by task index; it is stored before the order is sent.
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

/** What the owner stores of a job beside its acceptance. [endedMs] is Unix ms, 0 while the job has not ended. */
@Serializable
public data class JobProgress(
    val state: JobState,
    val steps: List<StepProgress> = emptyList(),
    val endedMs: Long = 0,
    val workspace: String = "",
)
