package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.ClockReading
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.ageOf

/**
 * Logs for the operator when an evacuation is in force, when the last run in the data centre has ended, and when the owner
 * places nothing because the requests are not confirmed. A new owner logs the lines again.
 */
internal class DataCentreEvacuationLog(
    private val dependencies: OwnerDependencies,
) {
    private val evacuations = dependencies.evacuations
    private val clock = dependencies.clock
    private val log = dependencies.log

    private class Progress(
        val requestedAt: ClockReading,
        val seenAtMs: Long,
    ) {
        var isUnknownLogged = false
        var isInForce = false
        var isFinished = false
    }

    private val progressByDataCentre = HashMap<String, Progress>()
    private var unconfirmedSinceMs: Long? = null

    /** Logs what has changed; called several times a second with the [sessions] of all workers, once they were listed. */
    fun check(sessions: List<WorkerSession>) {
        checkConfirmation()
        val requested = evacuations.requested
        progressByDataCentre.keys.retainAll(requested.keys)
        if (requested.isEmpty()) return
        val workers = sessions.groupBy { it.listed.dataCentre }
        requested.forEach { (dataCentre, requestedAt) ->
            val known = progressByDataCentre[dataCentre]?.takeIf { it.requestedAt == requestedAt }
            val progress = known ?: Progress(requestedAt, clock.monotonicMs())
            progressByDataCentre[dataCentre] = progress
            if (!progress.isFinished) checkProgress(dataCentre, progress, workers[dataCentre].orEmpty())
        }
    }

    private fun checkConfirmation() {
        val since = unconfirmedSinceMs
        val now = clock.monotonicMs()
        if (evacuations.isConfirmed == (since == null)) return
        unconfirmedSinceMs = if (since == null) now else null
        if (since == null) {
            log.record(
                SchedulerEvent.EVACUATIONS_UNCONFIRMED,
                dependencies.settings.instance,
                "ageMs" to evacuations.ageMs,
                "limitMs" to evacuations.maxAgeMs,
            )
        } else {
            log.record(SchedulerEvent.EVACUATIONS_CONFIRMED, dependencies.settings.instance, "lastedMs" to now - since)
        }
    }

    private fun checkProgress(
        dataCentre: String,
        progress: Progress,
        workers: List<WorkerSession>,
    ) {
        if (workers.isEmpty() && !progress.isInForce) {
            if (!progress.isUnknownLogged) log.record(SchedulerEvent.EVACUATION_UNKNOWN, dataCentre)
            progress.isUnknownLogged = true
            return
        }
        val runs = workers.flatMap { it.runs.values }
        if (!progress.isInForce) {
            val unsettled = workers.count { !it.isSettled }
            val isSettling = unsettled > 0 && clock.monotonicMs() - progress.seenAtMs < SETTLE_MS
            val isInTransit = runs.any { it.state == RunState.STARTING && it.isOrdered }
            if (isSettling || isInTransit) return
            progress.isInForce = true
            log.record(
                SchedulerEvent.EVACUATION_IN_FORCE,
                dataCentre,
                "workers" to workers.size,
                "runs" to runs.size,
                "lasting" to runs.count { it.task.step.spec.isLasting },
                "unsettled" to unsettled,
                "sinceRequestMs" to clock.ageOf(progress.requestedAt),
            )
        }
        if (workers.all { it.isKnownEmpty }) {
            progress.isFinished = true
            log.record(
                SchedulerEvent.EVACUATION_FINISHED,
                dataCentre,
                "workers" to workers.size,
                "tookMs" to clock.ageOf(progress.requestedAt),
            )
        }
    }

    private companion object {
        // A new owner claims the workers that answer within a few 100 ms; one that does not answer holds up the line no longer.
        const val SETTLE_MS = 2_000L
    }
}
