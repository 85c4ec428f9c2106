package org.orioleferry.scheduler.model

import kotlinx.serialization.SerialName
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

/**
 * Latest recorded start of a task.
 *
 * @property worker id of the worker, empty once the run is known to have ended.
 * @property incarnationMs incarnation of the worker, or 0 if it is not recorded.
 */
@Serializable
public data class StartedRun(
    val attempt: Int,
    val worker: String = "",
    @SerialName("born") val incarnationMs: Long = 0,
)

/**
 * Stored progress of one step in one occurrence of its job.
 *
 * @property isDone whether all tasks are done; [done] is empty then.
 * @property done indexes of the tasks that are done.
 * @property failures numbers of the failed attempts by task index; numbers instead of a count, so that an end which a
 *   worker lists twice is counted once.
 * @property crashes numbers of the attempts under which a worker has crashed, by task index; not those in
 *   [certainCrashes] or [unconfirmedCrashes].
 * @property certainCrashes numbers of the attempts that have certainly caused their worker's crash, if a run has.
 * @property unconfirmedCrashes numbers of the attempts that may not have been on their worker when it crashed.
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
    val crashes: Map<Int, List<Int>> = emptyMap(),
    val certainCrashes: Map<Int, List<Int>> = emptyMap(),
    val unconfirmedCrashes: Map<Int, List<Int>> = emptyMap(),
)

/**
 * Progress of a job, stored by the owner. [endedMs] is Unix ms, 0 while the job has not ended. [hasBegun] tells whether a
 * run of it is known to have begun; null in rows of earlier versions.
 */
@Serializable
public data class JobProgress(
    val state: JobState,
    val steps: List<StepProgress> = emptyList(),
    val endedMs: Long = 0,
    val workspace: String = "",
    val hasBegun: Boolean? = null,
)
