package org.orioleferry.scheduler.owner

import org.orioleferry.core.Clock
import org.orioleferry.scheduler.ClockReading
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.SchedulerSettings
import org.orioleferry.scheduler.ageOf
import org.orioleferry.scheduler.now

/**
 * The data centres in which the operator wants nothing to be started, as this instance knows them. Runs there continue.
 *
 * Every instance keeps the set, whether it is the owner or not, so that a new owner has it before its first order. Used on
 * one thread. ([Evacuation] is about the runs of a single worker that leaves.)
 */
public class DataCentreEvacuations(
    private val clock: Clock,
    private val settings: SchedulerSettings,
    private val log: DecisionLog,
) {
    /** When this instance saw each request, by data centre; null before the first read. */
    private var requests: Map<String, ClockReading>? = null
    private var confirmedAt: ClockReading? = null

    /**
     * Age in ms of the last confirmation from which nothing is started any more, or null without
     * [SchedulerSettings.evacuateMs]. A request that was written right after the confirmation is met in time even then.
     */
    internal val maxAgeMs: Long? = settings.evacuateMs?.let { maxOf(it - ORDER_TRANSIT_MS, it / 2) }

    /**
     * Longest time in ms after which the set is to be confirmed again, or null where its age does not matter. A
     * confirmation counts from the sending of its call, so it is up to two periods old when the next one arrives.
     */
    public val confirmationPeriodMs: Long? =
        maxAgeMs?.let {
            maxOf(
                (it - LATENCY_RISE_MS) / 2,
                minOf(
                    MIN_PERIOD_MS,
                    it / 3,
                ),
            )
        }

    /** Time in ms since the call was sent whose answer last confirmed the set, or null before the first. */
    internal val ageMs: Long? get() = confirmedAt?.let { clock.ageOf(it) }

    /** Whether the set is known and recent enough to start tasks outside of its data centres. */
    public val isConfirmed: Boolean
        get() {
            val age = ageMs ?: return false
            return requests != null && (maxAgeMs == null || age < maxAgeMs)
        }

    /** Data centres whose evacuation is requested, with the time at which this instance saw the request. */
    public val requested: Map<String, ClockReading> get() = requests.orEmpty()

    internal fun isRequested(dataCentre: String): Boolean = dataCentre in requested

    /** Returns why no task may be started in [dataCentre] now, or null when one may be. */
    internal fun reasonAgainstStart(dataCentre: String): String? =
        when {
            isRequested(dataCentre) -> "the data centre is evacuated"
            !isConfirmed -> "the requests for evacuations are not confirmed"
            else -> null
        }

    /** Replaces all requests by those for [dataCentres], as a whole read of the rows shows them. */
    public fun replaceAll(dataCentres: Set<String>) {
        (requested.keys - dataCentres).forEach(::withdraw)
        requests = requested
        dataCentres.forEach(::request)
    }

    /** Records that the evacuation of [dataCentre] is requested. A request that is known already keeps its time. */
    public fun request(dataCentre: String) {
        if (isRequested(dataCentre)) return
        requests = requested + (dataCentre to clock.now())
        log.record(SchedulerEvent.EVACUATION_REQUESTED, settings.instance, "dataCentre" to dataCentre)
    }

    /** Records that the request to evacuate [dataCentre] was removed. */
    public fun withdraw(dataCentre: String) {
        val seenAt = requested[dataCentre] ?: return
        requests = requested - dataCentre
        log.record(
            SchedulerEvent.EVACUATION_WITHDRAWN,
            settings.instance,
            "dataCentre" to dataCentre,
            "lastedMs" to clock.ageOf(seenAt),
        )
    }

    /** Records that the store showed no other requests in its answer to a call sent at [sentAt]. */
    public fun recordConfirmation(sentAt: ClockReading) {
        confirmedAt = sentAt
    }

    private companion object {
        // An order that was sent just before the limit reaches its worker within 0.7 s or its connection is closed; the
        // rest covers the time until the worker has acted on it.
        const val ORDER_TRANSIT_MS = 1_000L

        // As for the manifest: a store whose answers take 100 times as long as usual delays the confirmation by 0.4 s.
        const val LATENCY_RISE_MS = 500L
        const val MIN_PERIOD_MS = 300L
    }
}
