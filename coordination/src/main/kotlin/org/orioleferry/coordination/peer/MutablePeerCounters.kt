package org.orioleferry.coordination.peer

import java.util.concurrent.atomic.AtomicLong

/** Thread-safe running totals, of which [PeerCounters] is a snapshot. */
internal class MutablePeerCounters {
    val bytesSent = AtomicLong()
    val bytesReceived = AtomicLong()
    val messagesSent = AtomicLong()
    val messagesReceived = AtomicLong()
    val messagesDropped = AtomicLong()
    val unknownKinds = AtomicLong()
    val malformedFrames = AtomicLong()
    val connectionsOpened = AtomicLong()
    val silentConnections = AtomicLong()

    fun snapshot() =
        PeerCounters(
            bytesSent = bytesSent.get(),
            bytesReceived = bytesReceived.get(),
            messagesSent = messagesSent.get(),
            messagesReceived = messagesReceived.get(),
            messagesDropped = messagesDropped.get(),
            unknownKinds = unknownKinds.get(),
            malformedFrames = malformedFrames.get(),
            connectionsOpened = connectionsOpened.get(),
            silentConnections = silentConnections.get(),
        )
}
