package org.orioleferry.coordination.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import kotlinx.serialization.cbor.CborLabel
import org.orioleferry.coordination.notes.CommittedNote
import org.orioleferry.core.event.Event
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.WorkerId

/** Message between two entry instances. Delivery is best effort: a message may be lost, late or repeated. */
public sealed interface PeerMessage

/**
 * Load of one class on the sending instance.
 *
 * @property queued requests that wait.
 * @property running requests in progress.
 * @property arrivals requests that arrived per second, on average since the class was last reported.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class ClassLoad(
    val queued: Int = 0,
    val running: Int = 0,
    val arrivals: Int = 0,
)

/**
 * State of an instance, sent to each peer every second. Integer labels instead of names keep it within the traffic
 * limit.
 *
 * @property owned owned domains with their epochs.
 * @property load load of some classes; [org.orioleferry.coordination.membership.Membership] sends a few at a time.
 * @property leavingUpstreams workers that some source reports as leaving.
 * @property unreachableUpstreams workers that failed the sender's probes.
 * @property isLeaving whether the sender is shutting down and competes for nothing.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class Heartbeat(
    @CborLabel(1) val dataCentre: DataCentre,
    @CborLabel(2) val noteVersion: Long = 0,
    @CborLabel(3) val owned: Map<DataCentre, Epoch> = emptyMap(),
    @CborLabel(4) val leavingUpstreams: List<WorkerId> = emptyList(),
    @CborLabel(5) val load: Map<JobClassName, ClassLoad> = emptyMap(),
    @CborLabel(6) val isLeaving: Boolean = false,
    @CborLabel(7) val unreachableUpstreams: List<WorkerId> = emptyList(),
) : PeerMessage

/** Asks for the notes that follow version [after]. */
@Serializable
public data class NotesRequest(
    val after: Long,
) : PeerMessage

/**
 * Notes in version order. When the sender no longer holds all that were asked for, [snapshot] is the configuration
 * that the first note follows, and [snapshotDigest] is the digest of the chain up to it.
 */
@Serializable
public data class Notes(
    val notes: List<CommittedNote>,
    val snapshot: Configuration? = null,
    val snapshotDigest: String = "",
) : PeerMessage

/** Tells the owner of [domain] that [jobId] was accepted. A lost hint only delays the job until the next scan. */
@Serializable
public data class JobHint(
    val domain: DataCentre,
    val jobId: JobId,
) : PeerMessage

/** Asks for the events of the receiver that match [filter] and follow wall time [sinceMs]. */
@Serializable
public data class EventsRequest(
    val requestId: Long,
    val filter: Map<String, String> = emptyMap(),
    val sinceMs: Long = 0,
) : PeerMessage

/** Answer to an [EventsRequest]. */
@Serializable
public data class Events(
    val requestId: Long,
    val events: List<Event>,
) : PeerMessage

/** Shows that the connection works while nothing else is sent. It is not passed on to subscribers. */
@Serializable
internal data object KeepAlive : PeerMessage

/**
 * A message with its sender.
 *
 * @property sequence grows with each message of one [incarnation] of the sender.
 * @property logicalTime Lamport clock of the sender, 0 when it sends none.
 */
public data class ReceivedMessage(
    val from: InstanceId,
    val incarnation: Long,
    val sequence: Long,
    val message: PeerMessage,
    val logicalTime: Long = 0,
)
