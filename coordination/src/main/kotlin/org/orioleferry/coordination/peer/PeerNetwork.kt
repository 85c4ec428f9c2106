package org.orioleferry.coordination.peer

import kotlinx.coroutines.flow.SharedFlow
import org.orioleferry.core.model.InstanceId

/** Address at which an instance accepts its peers. */
public data class PeerAddress(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private const val MAX_PORT = 65_535

        /** Parses `host:port`, or returns null when [text] has another form. */
        public fun parseOrNull(text: String): PeerAddress? {
            val host = text.substringBeforeLast(':', "").ifEmpty { return null }
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            return if (port in 1..MAX_PORT) PeerAddress(host, port) else null
        }
    }
}

/** Links to the other entry instances. Sending never waits, and a message that cannot be sent is dropped. */
public interface PeerNetwork {
    /** Messages from all peers. A subscriber that falls far behind misses the oldest ones. */
    public val messages: SharedFlow<ReceivedMessage>

    /** Replaces the set of peers to which connections are kept open. */
    public fun connectTo(peers: Map<InstanceId, PeerAddress>)

    /** Queues [message] for [to]. False when there is no connection, so that the message is certainly not sent. */
    public fun send(
        to: InstanceId,
        message: PeerMessage,
    ): Boolean
}

/**
 * Limits of the peer links.
 *
 * @property keepAliveMs time without another message after which a keep-alive is sent. It exceeds the heartbeat
 * period, so that heartbeats usually take its place.
 * @property progressDeadlineMs a connection on which nothing arrives or leaves for this time is closed and reopened.
 * It is below the 3 s after which a peer is suspect, so that a new connection can carry a heartbeat before that.
 * @property connectDeadlineMs limit of one attempt to connect.
 * @property minBackoffMs first wait after a failed attempt; doubles up to [maxBackoffMs].
 * @property maxFrameBytes longest frame that is accepted or sent.
 * @property maxConnections greatest number of open connections up to which new ones are accepted.
 */
public data class PeerSettings(
    val keepAliveMs: Long = 1_200,
    val progressDeadlineMs: Long = 2_500,
    val connectDeadlineMs: Long = 1_000,
    val minBackoffMs: Long = 100,
    val maxBackoffMs: Long = 2_000,
    val maxFrameBytes: Int = 256 * 1_024,
    val maxConnections: Int = 64,
)

/** Totals since the start. Bytes include the length field of each frame and exclude TCP and IP headers. */
public data class PeerCounters(
    val bytesSent: Long,
    val bytesReceived: Long,
    val messagesSent: Long,
    val messagesReceived: Long,
    val messagesDropped: Long,
    val unknownKinds: Long,
    val malformedFrames: Long,
    val connectionsOpened: Long,
    val silentConnections: Long,
)
