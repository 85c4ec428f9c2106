package org.orioleferry.coordination.membership

import org.orioleferry.coordination.peer.ClassLoad
import org.orioleferry.coordination.peer.Heartbeat
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.JobClassName

/** State of another entry instance as seen by this one. */
public enum class MemberState {
    /** Listed by the platform and not heard from yet. */
    JOINING,

    /** Heartbeats arrive. */
    ALIVE,

    /** Heartbeats are missing. */
    SUSPECT,

    /** The instance is shutting down. */
    LEAVING,

    /** Heartbeats have been missing for [MembershipSettings.deadMs], and the instance is no longer waited for. */
    DEAD,
}

/**
 * An entry instance as this one sees it.
 *
 * @property heartbeat the last heartbeat; null before the first. It has the load of some classes only.
 * @property load load of each class as last reported.
 */
public data class Member(
    val id: InstanceId,
    val dataCentre: DataCentre,
    val state: MemberState,
    val incarnation: Long,
    val heartbeat: Heartbeat?,
    val load: Map<JobClassName, ClassLoad> = emptyMap(),
)

/**
 * Times of the membership, in milliseconds.
 *
 * @property checkMs period of the check for missing heartbeats.
 * @property slowObserverMs a check that is late by more than this shows that this process was paused or slow; the
 * delay is not counted as missing heartbeats of the peers.
 * @property loadsPerHeartbeat classes whose load one heartbeat carries, in rotation. Operators define any number of
 * classes, and a class takes about 21 B in each of 10 heartbeats a second.
 * @property loadExpiryMs time after which a load that is not repeated is dropped, as for a withdrawn class.
 * @property forgetMs time after which a dead instance that the platform no longer lists is forgotten.
 */
public data class MembershipSettings(
    val heartbeatMs: Long = 1_000,
    val suspectMs: Long = 3_000,
    val deadMs: Long = 6_000,
    val checkMs: Long = 250,
    val slowObserverMs: Long = 1_000,
    val loadsPerHeartbeat: Int = 3,
    val loadExpiryMs: Long = 30_000,
    val forgetMs: Long = 60_000,
)
