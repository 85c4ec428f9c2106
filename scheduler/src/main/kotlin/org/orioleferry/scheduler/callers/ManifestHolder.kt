package org.orioleferry.scheduler.callers

import org.orioleferry.core.Clock
import org.orioleferry.scheduler.ClockReading
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.SchedulerSettings
import org.orioleferry.scheduler.ageOf
import org.orioleferry.scheduler.model.Manifest

/** Holds the manifest in force on this instance. Its version never decreases while the process runs. */
public class ManifestHolder(
    private val clock: Clock,
    private val settings: SchedulerSettings,
    private val log: DecisionLog,
) {
    @Volatile
    public var current: Manifest? = null
        private set

    @Volatile
    private var confirmedAt: ClockReading? = null

    /**
     * Whether the store confirmed within [SchedulerSettings.maxManifestAgeMs] that there is no newer manifest, which
     * may revoke keys.
     */
    public val isFresh: Boolean get() =
        (ageMs?.let { it < settings.maxManifestAgeMs } ?: false) && (current?.version ?: 0) >= newestKnownVersion

    /** Highest version by which a call that this instance passed on was answered. */
    @Volatile
    private var newestKnownVersion = 0L

    /**
     * Records that another instance has answered a caller of this one by [version]. A lower version in force here is
     * outdated from then on, since callers must not see an earlier version after a later one.
     */
    public fun recordNewerVersion(version: Long) {
        newestKnownVersion = maxOf(newestKnownVersion, version)
    }

    /** Time in ms since the call was sent whose answer last confirmed the manifest, or null before the first. */
    public val ageMs: Long? get() = confirmedAt?.let { clock.ageOf(it) }

    /**
     * Time in ms after which the manifest is to be confirmed again. A confirmation counts from the sending of its call,
     * so it is up to two periods old when the next one arrives. The limit leaves [LATENCY_RISE_MS] beyond them.
     *
     * A manifest also has to take effect within 2 s, even when a connection stops responding.
     */
    public val confirmationPeriodMs: Long =
        ((settings.maxManifestAgeMs - LATENCY_RISE_MS) / 2).coerceIn(MIN_PERIOD_MS, MAX_PERIOD_MS)

    /** Puts [manifest] in force unless the current one has the same or a higher version. */
    public fun updateIfNewer(manifest: Manifest) {
        val previous = current
        if (previous != null && manifest.version <= previous.version) return
        current = manifest
        log.record(
            SchedulerEvent.MANIFEST_IN_FORCE,
            settings.instance,
            "version" to manifest.version,
            "queues" to manifest.queues.size,
            "earlier" to previous?.version,
        )
    }

    /** Records that the store had no newer manifest in its answer to a call sent at [sentAt]. */
    public fun recordConfirmation(sentAt: ClockReading) {
        confirmedAt = sentAt
    }

    private companion object {
        // A store whose answers take 100 times as long as usual delays the confirmation after the change by 0.4 s.
        const val LATENCY_RISE_MS = 500L
        const val MIN_PERIOD_MS = 300L
        const val MAX_PERIOD_MS = 1_300L
    }
}
