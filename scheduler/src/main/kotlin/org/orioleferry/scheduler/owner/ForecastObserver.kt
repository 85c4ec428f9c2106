package org.orioleferry.scheduler.owner

import org.orioleferry.core.Clock
import org.orioleferry.scheduler.ClockReading
import org.orioleferry.scheduler.ageOf
import org.orioleferry.scheduler.model.LoadForecast
import org.orioleferry.scheduler.model.ServiceWait

/** The waits that this owner has computed at [computedAt]. */
internal data class ComputedForecast(
    val waits: List<ServiceWait>,
    val computedAt: ClockReading,
) {
    /** Returns the forecast with its present age, or null if it names no wait. */
    fun at(clock: Clock): LoadForecast? =
        if (waits.isEmpty()) null else LoadForecast(waits, maxOf(0, clock.ageOf(computedAt)))
}

/**
 * Keeps the forecast of the last lease row that another instance has written, with an upper bound of its age.
 *
 * A row says nothing about the time of its write, so only changes that came through the feed count: such a change was
 * written after the call before it was sent.
 */
internal class ForecastObserver(
    private val clock: Clock,
) {
    private var observed: LoadForecast? = null
    private var writtenAfter: ClockReading? = null

    /** Takes over the forecast of [lease], which was written after the time [writtenAfter]. */
    fun onChanged(
        lease: LeaseValue?,
        writtenAfter: ClockReading,
    ) {
        observed = lease?.forecast
        this.writtenAfter = writtenAfter
    }

    /** Returns the forecast with an upper bound of its present age, or null without one. */
    fun current(): LoadForecast? {
        val forecast = observed ?: return null
        val sinceWrittenMs = clock.ageOf(writtenAfter ?: return null)
        // The sum with a damaged age must not overflow.
        val ageMs = forecast.ageMs.coerceIn(0, Int.MAX_VALUE.toLong()) + maxOf(0, sinceWrittenMs)
        return forecast.copy(ageMs = ageMs)
    }
}
