package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.workers.RunId

/**
 * A run that was lost because its worker crashed.
 *
 * @property provenMs time for which the run is known to have worked before the crash, ms; 0 when its start has no answer.
 */
internal data class LostRun(
    val task: Task,
    val attempt: Int,
    val provenMs: Long,
) {
    val id: RunId get() = RunId(task.id, attempt)
}
