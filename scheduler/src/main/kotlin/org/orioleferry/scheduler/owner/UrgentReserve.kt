package org.orioleferry.scheduler.owner

import kotlin.math.exp

/** Tracks the recent peak of accelerators used by urgent work, to keep some free for its next burst. */
internal class UrgentReserve(
    maxStopMs: Long,
) {
    // With fast stops a preemption delays urgent work little, and idle accelerators cost the other work more.
    private val maxShare = (maxStopMs * SHARE_PER_STOP_MS).coerceIn(MIN_SHARE, MAX_SHARE)

    private class Peak(
        var accelerators: Double,
        var atMs: Long,
    )

    private val peaksByService = HashMap<String, Peak>()

    /**
     * Returns the number of accelerators to keep free, by service. Urgent runs count on all [sessions], the share of the
     * service is one of the workers that are offered to the planner at all ([isOffered]).
     */
    fun reservedAccelerators(
        sessions: List<WorkerSession>,
        nowMs: Long,
        isOffered: (WorkerSession) -> Boolean = { true },
    ): Map<String, Int> =
        sessions.groupBy { it.listed.service }.mapValues { (service, workers) ->
            val usedAccelerators =
                workers.sumOf { worker ->
                    worker.runs.values
                        .filter { it.isUrgent }
                        .sumOf { it.task.step.spec.need.accelerators }
                }
            val totalAccelerators = workers.filter(isOffered).sumOf { it.listed.capacity.accelerators }
            val peak = peaksByService.getOrPut(service) { Peak(0.0, nowMs) }
            val decayedPeak = peak.accelerators * exp(-(nowMs - peak.atMs) / PEAK_DECAY_MS)
            peak.accelerators = maxOf(decayedPeak, usedAccelerators.toDouble())
            peak.atMs = nowMs
            minOf(peak.accelerators - usedAccelerators, totalAccelerators * maxShare).toInt()
        }

    private companion object {
        // Time constant of the peak's decay. Urgent tasks last a few seconds and arrive in bursts of about 6 s.
        const val PEAK_DECAY_MS = 5_000.0

        // Leaves most of the service to routine work even after a large burst. The bounds are equal, so the share is
        // the same for every stop time.
        const val MIN_SHARE = 0.15
        const val MAX_SHARE = 0.15
        const val SHARE_PER_STOP_MS = 0.15 / 900
    }
}
