package org.orioleferry.scheduler.model

import kotlinx.serialization.Serializable

/**
 * Estimated wait of new work of one [priority] at one [service]: the time in ms until the accelerators and the cores are
 * free that earlier work uses or will use before it. 0 where the wait is short or not known.
 */
@Serializable
public data class ServiceWait(
    val service: String,
    val priority: Int,
    val acceleratorMs: Long = 0,
    val cpuMs: Long = 0,
) {
    /** Returns the wait in ms of a task that is allocated [need]. */
    public fun waitMs(need: Resources): Long =
        maxOf(if (need.accelerators > 0) acceleratorMs else 0, if (need.cpuMillis > 0) cpuMs else 0)
}

/**
 * The owner's forecast of the [waits] of new work. Services and priorities with a short wait are not named. [ageMs] is
 * the time in ms since the forecast was computed.
 */
@Serializable
public data class LoadForecast(
    val waits: List<ServiceWait>,
    val ageMs: Long = 0,
) {
    /** Returns the wait of work of [priority] at [service], or null if it is not named. */
    public fun waitOf(
        service: String,
        priority: Int,
    ): ServiceWait? = waits.firstOrNull { it.service == service && it.priority == priority }
}
