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
    public val isFresh: Boolean get() = ageMs?.let { it < settings.maxManifestAgeMs } ?: false

    /** Time in ms since the call was sent whose answer last confirmed the manifest, or null before the first. */
    public val ageMs: Long? get() = confirmedAt?.let { clock.ageOf(it) }

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
}
