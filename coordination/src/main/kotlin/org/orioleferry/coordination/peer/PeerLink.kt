package org.orioleferry.coordination.peer

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.core.model.InstanceId

/** Callbacks of a [PeerLink] for its frames and its state. */
internal interface PeerLinkHandler {
    /** Handles a received frame. False closes the connection. */
    suspend fun onFrame(
        link: PeerLink,
        frame: ByteArray,
    ): Boolean

    /** An encoded keep-alive frame. */
    fun keepAlive(): ByteArray

    /** Whether another connection to the same peer is used instead of [link]. */
    fun isRedundant(link: PeerLink): Boolean

    fun onSent(bytes: Int)

    fun onReceived(bytes: Int)

    fun onDropped()

    fun onSilent()
}

/**
 * One connection to a peer.
 *
 * @property order grows with each connection of this process; a newer connection is preferred.
 */
internal class PeerLink(
    private val socket: Socket,
    val isDialed: Boolean,
    val order: Long,
    private val settings: PeerSettings,
    private val handler: PeerLinkHandler,
) {
    private val outbox =
        Channel<ByteArray>(OUTBOX_FRAMES, BufferOverflow.DROP_OLDEST) { handler.onDropped() }

    /** The peer, known after its first frame. */
    @Volatile
    var peer: InstanceId? = null

    fun offer(frame: ByteArray): Boolean = outbox.trySend(frame).isSuccess

    /** Reads and writes until the connection fails, is silent or is redundant. */
    suspend fun run() {
        try {
            coroutineScope {
                val writer = launch { write(socket.openWriteChannel()) }
                val reader = launch { read(socket.openReadChannel()) }
                writer.invokeOnCompletion { reader.cancel() }
                reader.invokeOnCompletion { writer.cancel() }
            }
        } finally {
            outbox.close()
            socket.close()
        }
    }

    private suspend fun read(channel: ByteReadChannel) {
        while (true) {
            val frame = withTimeoutOrNull(settings.progressDeadlineMs) { readFrame(channel) }
            if (frame == null) return handler.onSilent()
            handler.onReceived(frame.size + LENGTH_BYTES)
            if (!handler.onFrame(this, frame)) return
        }
    }

    private suspend fun readFrame(channel: ByteReadChannel): ByteArray {
        val length = channel.readInt()
        // The limit is checked before the frame is read, so that a peer cannot make this process allocate more.
        if (length !in 1..settings.maxFrameBytes) throw FrameException("invalid frame length: $length bytes")
        return channel.readByteArray(length)
    }

    private suspend fun write(channel: ByteWriteChannel) {
        var next: ByteArray? = handler.keepAlive()
        while (true) {
            val frame = next ?: handler.keepAlive()
            val isSent =
                withTimeoutOrNull(settings.progressDeadlineMs) {
                    channel.writeInt(frame.size)
                    channel.writeByteArray(frame)
                    channel.flush()
                    true
                }
            if (isSent == null) return handler.onSilent()
            handler.onSent(frame.size + LENGTH_BYTES)
            next = withTimeoutOrNull(settings.keepAliveMs) { outbox.receive() }
            // Both ends prefer the same connection, and only the end that dialed the other one closes it.
            if (next == null && isDialed && handler.isRedundant(this)) return
        }
    }

    private companion object {
        const val OUTBOX_FRAMES = 32
        const val LENGTH_BYTES = 4
    }
}

/** A frame with an invalid length. */
internal class FrameException(
    message: String,
) : java.io.IOException(message)
