package org.orioleferry.core.settings

import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.InstanceId
import java.nio.file.Path

/**
 * Settings of one daemon. Times are in milliseconds, sizes in bytes.
 *
 * @property dataCentres all data centres of the deployment, each of which needs an owner; empty means only the one of
 * this instance.
 */
public data class DaemonSettings(
    val instance: InstanceSettings,
    val listen: ListenSettings,
    val platform: PlatformSettings,
    val dataCentres: List<DataCentre> = emptyList(),
    val ownership: OwnershipSettings = OwnershipSettings(),
    val membership: MembershipSettings = MembershipSettings(),
    val notes: NoteSettings = NoteSettings(),
    val requests: RequestSettings = RequestSettings(),
    val jobs: JobSettings = JobSettings(),
    val peers: PeerSettings = PeerSettings(),
    val events: EventSettings = EventSettings(),
    val drain: DrainSettings = DrainSettings(),
) {
    /** The data centres that this instance competes for. */
    public val domains: List<DataCentre> get() = dataCentres.ifEmpty { listOf(instance.dataCentre) }

    /** Longest deadline that a class may have, so that a graceful shutdown interrupts no request in progress. */
    public val longestDeadlineMs: Long get() = drain.limitMs - drain.refuseAfterMs

    public companion object {
        /** Reads the file at [path] and reports all its mistakes. Never throws for a faulty or missing file. */
        public fun load(path: Path): SettingsResult = loadSettings(path)

        /** Parses the YAML [text] and reports all its mistakes, with [file] as the name of the file. */
        public fun parse(
            text: String,
            file: String,
        ): SettingsResult = parseSettings(text, file)
    }
}

/** Identity and data centre of this instance. */
public data class InstanceSettings(
    val id: InstanceId,
    val dataCentre: DataCentre,
)

/** Address at which callers and peers reach this instance. Port 0 binds any free port. */
public data class ListenSettings(
    val host: String,
    val httpPort: Int,
    val peerPort: Int,
)

/** Access to the platform. [deadlineMs] limits each call. */
public data class PlatformSettings(
    val baseUrl: String,
    val deadlineMs: Long = 800,
)

/**
 * Ownership of data centres.
 *
 * @property ttlMs time without a renewal after which the lease has expired.
 * @property renewMs period of the owner's renewals.
 * @property otherStandbyReadMs read period of all other standbys.
 * @property rankDelayMs additional delay for each rank before an expired lease is acquired.
 */
public data class OwnershipSettings(
    val ttlMs: Long = 1_500,
    val renewMs: Long = 500,
    val otherStandbyReadMs: Long = 2_000,
    val rankDelayMs: Long = 200,
)

/**
 * Liveness of peers and upstreams.
 *
 * @property selfLateMs delay of this instance's own timer above which it suspects no peer.
 * @property listPullMs period of reads of the platform's instance list.
 */
public data class MembershipSettings(
    val heartbeatMs: Long = 1_000,
    val suspectMs: Long = 3_000,
    val deadMs: Long = 6_000,
    val selfLateMs: Long = 1_000,
    val listPullMs: Long = 1_000,
)

/** Distribution of release notes. [pullMs] is the period of reads of the head, before jitter. */
public data class NoteSettings(
    val pullMs: Long = 2_000,
)

/**
 * Limits of requests, which bound the state that callers can make the daemon keep.
 *
 * @property maxQueued bound of the queue of each class, in requests.
 * @property recordMs deadline of the write that records an answer before the caller gets it.
 */
public data class RequestSettings(
    val maxBodyBytes: Int = 65_536,
    val maxQueued: Int = 2_000,
    val defaultDeadlineMs: Long = 5_000,
    val recordMs: Long = 500,
)

/**
 * Placement of jobs.
 *
 * @property scanMs period of scans of a domain's job rows.
 */
public data class JobSettings(
    val taskLeaseTtlMs: Long = 9_000,
    val reclaimGraceMs: Long = 1_000,
    val scanMs: Long = 1_000,
)

/** Links between instances. A link that transfers nothing for [progressMs] is closed and reopened. */
public data class PeerSettings(
    val maxFrameBytes: Int = 262_144,
    val progressMs: Long = 3_000,
)

/** Event timeline of this process. [bufferSize] is the number of events kept. */
public data class EventSettings(
    val bufferSize: Int = 4_096,
)

/**
 * Graceful shutdown.
 *
 * @property refuseAfterMs time from the start of the shutdown for which new requests are still served.
 * @property limitMs longest time of the whole shutdown.
 */
public data class DrainSettings(
    val refuseAfterMs: Long = 1_000,
    val limitMs: Long = 30_000,
)
