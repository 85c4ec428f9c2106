package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.workers.RunId

/** Whether a run was on its worker when that crashed. */
internal enum class Presence {
    /** The run had begun, and the crash came before it could end otherwise. */
    CERTAIN,

    /** The start may not have arrived, or the run may have ended before, by itself or with its lease or its gang. */
    POSSIBLE,

    /** The worker had accepted the order to stop the run, which may have caused the crash but is not counted under it. */
    STOPPING,
}

/**
 * A run that was lost because its worker crashed.
 *
 * @property provenMs time for which the run is known to have worked before the crash, ms; 0 when its start has no answer.
 */
internal data class LostRun(
    val task: Task,
    val attempt: Int,
    val provenMs: Long,
    val presence: Presence,
) {
    val id: RunId get() = RunId(task.id, attempt)
}
