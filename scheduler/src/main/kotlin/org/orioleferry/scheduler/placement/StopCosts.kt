package org.orioleferry.scheduler.placement

import org.orioleferry.scheduler.ShortageSettings
import org.orioleferry.scheduler.model.Resources

/**
 * A run that may be stopped in favour of other work.
 *
 * @property elapsedMs time since the start of the run, ms.
 * @property sinceCheckpointMs time since its last listed checkpoint, or since its start before the first, ms.
 * @property preemptions number of times that its task was stopped before in favour of other work.
 */
internal data class StopCost(
    val savesProgress: Boolean,
    val isLasting: Boolean,
    val elapsedMs: Long,
    val sinceCheckpointMs: Long,
    val preemptions: Int = 0,
)

/**
 * Computes what stopping a run costs its job.
 *
 * @param shortage figures of the deployment, or null to count the time since the last listed checkpoint as lost.
 */
internal class StopCosts(
    private val maxStopMs: Long,
    private val shortage: ShortageSettings?,
) {
    /** Returns the working time that the stop loses, in ms, including the time of the restart. */
    fun lostMs(stop: StopCost): Long =
        when {
            stop.isLasting -> LASTING_COST_MS + RESTART_COST_MS
            shortage == null -> RESTART_COST_MS + if (stop.savesProgress) stop.sinceCheckpointMs else stop.elapsedMs
            // Workers write a checkpoint when they stop a run that saves progress, so its work is not lost.
            stop.savesProgress -> (maxStopMs + shortage.restoreMs) * (1 + stop.preemptions)
            else -> (stop.elapsedMs + RESTART_COST_MS) * (1 + stop.preemptions)
        }

    private companion object {
        // Lasting tasks are stopped last: the work of other tasks is lost in seconds, theirs is missed by their users.
        const val LASTING_COST_MS = 60_000L

        // Approximate cost of a restart in addition to the lost work.
        const val RESTART_COST_MS = 600L
    }
}

/** Whole cores that stand for these resources in the comparison of work. */
internal val Resources.weightedCores: Long get() = cpuMillis / 1_000L + accelerators * CORES_PER_ACCELERATOR

// Weight of an accelerator in the comparison of work.
private const val CORES_PER_ACCELERATOR = 8L
