package org.orioleferry.scheduler.owner

import kotlin.math.exp

/** How many accelerators urgent work has used of late, and how many to keep free for its return. */
internal class UrgentUse(
    stopMs: Long,
) {
    // Where stops are quick a preemption costs urgent work little, and room that stands free costs the other work more.
    private val largestShare = (stopMs * SHARE_PER_STOP_MS).coerceIn(SMALLEST_SHARE, LARGEST_SHARE)

    private class Peak(
        var accelerators: Double,
        var atMs: Long,
    )

    private val peaks = HashMap<String, Peak>()

    /** Accelerators to keep free in each service. */
    fun reserve(
        sessions: List<WorkerSession>,
        nowMs: Long,
    ): Map<String, Int> =
        sessions.groupBy { it.listed.service }.mapValues { (service, workers) ->
            val used =
                workers.sumOf { worker ->
                    worker.runs.values
                        .filter { it.isUrgent }
                        .sumOf { it.task.step.spec.need.accelerators }
                }
            val total = workers.sumOf { it.listed.room.accelerators }
            val peak = peaks.getOrPut(service) { Peak(0.0, nowMs) }
            val faded = peak.accelerators * exp(-(nowMs - peak.atMs) / FADING_MS)
            peak.accelerators = maxOf(faded, used.toDouble())
            peak.atMs = nowMs
            minOf(peak.accelerators - used, total * largestShare).toInt()
        }

    private companion object {
        // Urgent tasks last a few seconds and arrive in bursts of about 6 s.
        const val FADING_MS = 5_000.0

        // Routine work keeps most of the service also after a large burst.
        const val SMALLEST_SHARE = 0.15
        const val LARGEST_SHARE = 0.15
        const val SHARE_PER_STOP_MS = 0.15 / 900
    }
}
