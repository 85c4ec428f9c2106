package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.placement.Suspicion
import org.orioleferry.scheduler.placement.suspicionOf

/**
 * Crashes of workers under one task, by the number of the attempt that ran there, so that a crash which is seen twice
 * counts once.
 */
internal class TaskCrashes(
    private val isLasting: Boolean,
) {
    /** Attempts under which a worker has crashed for which another run may be the cause. */
    val sharedAttempts = sortedSetOf<Int>()

    /** Attempts under which a worker has crashed while no other run was a candidate. */
    val certainAttempts = sortedSetOf<Int>()

    /** Attempts that may not have been on their worker when it crashed, such as starts without an answer. */
    val unconfirmedAttempts = sortedSetOf<Int>()
    val count: Int get() = sharedAttempts.size + certainAttempts.size + unconfirmedAttempts.size

    /** Time that the run of the last crash had worked before, in ms, or null if not known. */
    private var lastProvenMs: Long? = null
    val suspicion: Suspicion get() = suspicionOf(count, certainAttempts.size, lastProvenMs, unconfirmedAttempts.size)

    /** Whether a run since the last crash has worked for as long as a trial takes. */
    var hasPassedTrial = false

    /** Whether the next run of the task is a trial. */
    val needsTrial: Boolean get() = suspicion == Suspicion.SUSPECT && !hasPassedTrial

    /** Monotonic time since which the task could be started and waits for its trial, or null before. */
    var waitsSinceMs: Long? = null

    /** Whether the crash under the attempt with [number] is counted. */
    operator fun contains(number: Int): Boolean =
        number in sharedAttempts || number in certainAttempts || number in unconfirmedAttempts

    /** Counts the crash under [lost] and returns whether it is new and counts. */
    fun add(
        lost: LostRun,
        isCertain: Boolean,
    ): Boolean {
        if (lost.attempt in this || lost.presence == Presence.STOPPING) return false
        // A lasting task meets crashes of other causes as time passes.
        if (isLasting && lost.provenMs >= LASTING_PROVEN_MS) {
            sharedAttempts.clear()
            certainAttempts.clear()
            unconfirmedAttempts.clear()
            return false
        }
        val attempts =
            when {
                lost.presence != Presence.CERTAIN -> unconfirmedAttempts
                isCertain -> certainAttempts
                else -> sharedAttempts
            }
        attempts += lost.attempt
        lastProvenMs = lost.provenMs
        hasPassedTrial = false
        return true
    }

    private companion object {
        // Time of work after which a run of a lasting task shows that the task does not crash workers.
        const val LASTING_PROVEN_MS = 30_000L
    }
}
