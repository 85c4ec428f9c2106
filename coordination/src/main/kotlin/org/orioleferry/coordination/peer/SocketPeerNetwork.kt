package org.orioleferry.coordination.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableSharedFlow
import kotlinx.coroutines.flow.SharedFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.orioleferry.core.model.InstanceId
import java.io.IOException
import java.nio.channels.ClosedSelectorException
import java.nio.channels.UnresolvedAddressException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * Lamport clock of the process: [read] gives the time to send along, [observe] takes the time of a received message.
 * It orders events of several processes whose wall clocks differ.
 */
public class LamportClock(
    public val read: () -> Long,
    public val observe: (received: Long) -> Unit,
)

/**
 * [PeerNetwork] over TCP. Each pair of instances uses one connection; when both dial at the same time, the one that
 * was dialed by the lower id is used.
 *
 * @param incarnation differs between two processes of the same id and grows with a restart, for example the wall
 * clock at the start in milliseconds.
 */
public class SocketPeerNetwork(
    private val self: InstanceId,
    private val incarnation: Long,
    private val random: Random,
    private val settings: PeerSettings = PeerSettings(),
    private val lamport: LamportClock = LamportClock({ 0 }, {}),
) : PeerNetwork {
    private val counts = MutablePeerCounters()
    private val sequence = AtomicLong()
    private val linkOrder = AtomicLong()
    private val links: MutableSet<PeerLink> = ConcurrentHashMap.newKeySet()
    private val dialers = ConcurrentHashMap<InstanceId, Dialer>()
    private val received = MutableSharedFlow<ReceivedMessage>(0, MESSAGE_BUFFER, BufferOverflow.DROP_OLDEST)
    private lateinit var scope: CoroutineScope
    private lateinit var selector: SelectorManager

    override val messages: SharedFlow<ReceivedMessage> = received

    /** Totals since the start. */
    public val counters: PeerCounters get() = counts.snapshot()

    /** Binds [listen], where port 0 means any free one, and runs in [parent] until it is cancelled. */
    public suspend fun start(
        parent: CoroutineScope,
        listen: PeerAddress,
    ): PeerAddress {
        scope = parent
        selector = SelectorManager(Dispatchers.IO)
        parent.coroutineContext.job.invokeOnCompletion { selector.close() }
        val server = aSocket(selector).tcp().bind(listen.host, listen.port) { reuseAddress = true }
        parent.launch { accept(server) }
        return PeerAddress(listen.host, (server.localAddress as InetSocketAddress).port)
    }

    override fun connectTo(peers: Map<InstanceId, PeerAddress>) {
        val wanted = peers - self
        dialers.entries.filter { wanted[it.key] != it.value.address }.forEach { (id, dialer) ->
            dialers.remove(id)
            dialer.job.cancel()
        }
        wanted.forEach { (id, address) ->
            dialers.computeIfAbsent(id) { Dialer(address, scope.launch { dial(id, address) }) }
        }
    }

    override fun send(
        to: InstanceId,
        message: PeerMessage,
    ): Boolean {
        val link = preferredLink(to)
        val frame = link?.let { encode(message) }
        val isQueued = frame != null && frame.size <= settings.maxFrameBytes && link.offer(frame)
        if (!isQueued) counts.messagesDropped.incrementAndGet()
        return isQueued
    }

    private fun encode(message: PeerMessage): ByteArray {
        val header = FrameHeader(self, incarnation, sequence.incrementAndGet(), lamport.read())
        return PeerCodec.encode(header, message)
    }

    private fun preferredLink(peer: InstanceId): PeerLink? =
        links.filter { it.peer == peer }.maxWithOrNull(
            compareBy({ it.isDialed == self.value < peer.value }, { it.order }),
        )

    private suspend fun accept(server: ServerSocket) {
        server.use {
            while (currentCoroutineContext().isActive) {
                val socket = acceptOrNull(server)
                when {
                    // The failure may be temporary, for example too many open files.
                    socket == null -> delay(settings.minBackoffMs)
                    links.size < settings.maxConnections -> scope.launch { run(socket, null) }
                    else -> socket.close()
                }
            }
        }
    }

    private suspend fun acceptOrNull(server: ServerSocket): Socket? =
        try {
            server.accept()
        } catch (failure: IOException) {
            logger.warn { "cannot accept a peer's connection: ${failure.message}" }
            null
        }

    private suspend fun dial(
        peer: InstanceId,
        address: PeerAddress,
    ) {
        // Spreads the first attempts of instances that start together.
        delay(random.nextLong(settings.minBackoffMs + 1))
        var backoffMs = settings.minBackoffMs
        while (currentCoroutineContext().isActive) {
            if (preferredLink(peer) == null) {
                val hasAnswered = connect(peer, address)
                backoffMs = if (hasAnswered) settings.minBackoffMs else minOf(backoffMs * 2, settings.maxBackoffMs)
            }
            delay(backoffMs / 2 + random.nextLong(backoffMs / 2 + 1))
        }
    }

    /** Connects and runs the link to its end. True when the peer has answered on it. */
    private suspend fun connect(
        peer: InstanceId,
        address: PeerAddress,
    ): Boolean =
        try {
            val socket =
                withTimeout(settings.connectDeadlineMs) {
                    aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
                }
            run(socket, peer)
        } catch (failure: IOException) {
            logger.debug { "cannot connect to $peer at $address: ${failure.message}" }
            false
        } catch (failure: CancellationException) {
            // The deadline of the attempt is reported as a cancellation too.
            if (!currentCoroutineContext().isActive) throw failure
            false
        } catch (failure: UnresolvedAddressException) {
            logger.warn { "address $address of $peer cannot be resolved: $failure" }
            false
        }

    private suspend fun run(
        socket: Socket,
        expected: InstanceId?,
    ): Boolean {
        counts.connectionsOpened.incrementAndGet()
        val link = PeerLink(socket, expected != null, linkOrder.incrementAndGet(), settings, LinkHandler(expected))
        links += link
        try {
            link.run()
        } catch (failure: IOException) {
            if (failure is FrameException) counts.malformedFrames.incrementAndGet()
            logger.debug { "connection to ${link.peer ?: expected} failed: ${failure.message}" }
        } catch (failure: ClosedSelectorException) {
            logger.debug { "connection to ${link.peer ?: expected} closed because the selector was closed: $failure" }
        } finally {
            links -= link
        }
        return link.peer != null
    }

    private inner class LinkHandler(
        private val expected: InstanceId?,
    ) : PeerLinkHandler {
        override suspend fun onFrame(
            link: PeerLink,
            frame: ByteArray,
        ): Boolean {
            when (val decoded = PeerCodec.decode(frame)) {
                is Decoded.Malformed -> {
                    counts.malformedFrames.incrementAndGet()
                    logger.warn { "malformed frame from ${link.peer ?: expected}: ${decoded.reason}" }
                    return false
                }
                is Decoded.Unknown -> counts.unknownKinds.incrementAndGet()
                is Decoded.Message -> return onMessage(link, decoded.received)
            }
            return true
        }

        private suspend fun onMessage(
            link: PeerLink,
            message: ReceivedMessage,
        ): Boolean {
            val peer = link.peer ?: expected ?: message.from
            // Another instance may have taken over the address.
            if (message.from != peer || message.from == self) return false
            link.peer = peer
            counts.messagesReceived.incrementAndGet()
            lamport.observe(message.logicalTime)
            if (message.message != KeepAlive) received.emit(message)
            return true
        }

        override fun keepAlive() = encode(KeepAlive)

        override fun isRedundant(link: PeerLink) = link.peer?.let { preferredLink(it) !== link } ?: false

        override fun onSent(bytes: Int) {
            counts.messagesSent.incrementAndGet()
            counts.bytesSent.addAndGet(bytes.toLong())
        }

        override fun onReceived(bytes: Int) {
            counts.bytesReceived.addAndGet(bytes.toLong())
        }

        override fun onDropped() {
            counts.messagesDropped.incrementAndGet()
        }

        override fun onSilent() {
            counts.silentConnections.incrementAndGet()
        }
    }

    private class Dialer(
        val address: PeerAddress,
        val job: Job,
    )

    private companion object {
        const val MESSAGE_BUFFER = 256
    }
}
