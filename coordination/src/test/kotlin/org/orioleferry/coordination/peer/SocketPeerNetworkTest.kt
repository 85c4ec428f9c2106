package org.orioleferry.coordination.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.filter
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.orioleferry.coordination.testing.SilenceableProxy
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobId
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotNull
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.Socket
import java.net.SocketException
import kotlin.random.Random

@OptIn(ExperimentalSerializationApi::class)
class SocketPeerNetworkTest {
    private val scope = CoroutineScope(Dispatchers.Default)
    private val first = InstanceId("entry-1")
    private val second = InstanceId("entry-2")
    private val anyPort = PeerAddress("127.0.0.1", 0)
    private val hint = JobHint(DataCentre("solin"), JobId("solin.1"))

    @AfterEach
    fun stop() = scope.cancel()

    private fun network(
        id: InstanceId,
        settings: PeerSettings = PeerSettings(),
    ) = SocketPeerNetwork(id, 1, Random(1), settings)

    /** Sends until [to] has received, and returns what it received; null when nothing arrives. */
    private suspend fun exchange(
        from: SocketPeerNetwork,
        to: SocketPeerNetwork,
        message: JobHint,
    ): ReceivedMessage? {
        val sender =
            scope.launch {
                while (true) {
                    from.send(second, message)
                    delay(20)
                }
            }
        val received = withTimeoutOrNull(RECEIVE_TIMEOUT_MS) { to.messages.filter { it.message == message }.first() }
        sender.cancel()
        return received
    }

    /** Whether messages arrive again after the connection between two instances went silent. */
    private suspend fun recoversFromSilence(settings: PeerSettings): Boolean {
        val sender = network(first, settings)
        val receiver = network(second, settings)
        sender.start(scope, anyPort)
        SilenceableProxy(receiver.start(scope, anyPort).port).use { proxy ->
            sender.connectTo(mapOf(second to PeerAddress("127.0.0.1", proxy.port)))
            expectThat(exchange(sender, receiver, hint)).isNotNull().get { from }.isEqualTo(first)
            proxy.silence()
            val isRestored = exchange(sender, receiver, hint.copy(jobId = JobId("solin.2"))) != null
            if (isRestored) expectThat(sender.counters.silentConnections).isGreaterThanOrEqualTo(1)
            return isRestored
        }
    }

    // Guards against a peer that is unreachable because one connection went silent while new connections would work.
    @Test
    fun `should replace a silent connection`() =
        runBlocking<Unit> {
            val quick = PeerSettings(keepAliveMs = 40, progressDeadlineMs = 200)
            expectThat(recoversFromSilence(quick)).isEqualTo(true)
            // Without the progress deadline the silent connection is kept.
            expectThat(recoversFromSilence(quick.copy(progressDeadlineMs = 1_000_000))).isEqualTo(false)
        }

    // Guards against a link that stays down after a message of a newer release or a damaged frame.
    @Test
    fun `should count unknown kinds and close on damaged frames`() =
        runBlocking<Unit> {
            val network = network(second)
            val port = network.start(scope, anyPort).port
            val cbor = Cbor { preferCborLabelsOverNames = true }
            val unknown = Envelope(1, "later-kind", first, 1, 1, ByteArray(0))
            val frames =
                listOf(
                    cbor.encodeToByteArray(Envelope.serializer(), unknown),
                    PeerCodec.encode(FrameHeader(first, 1, 2), hint),
                    ByteArray(40) { -1 },
                )
            val received = scope.launch { network.messages.first() }
            while (network.counters.malformedFrames < 1 || received.isActive) {
                Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
                    val output = DataOutputStream(socket.getOutputStream())
                    frames.forEach {
                        output.writeInt(it.size)
                        output.write(it)
                    }
                    awaitClose(socket)
                }
            }
            expectThat(network.counters.unknownKinds).isGreaterThanOrEqualTo(1)
            Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
                DataOutputStream(socket.getOutputStream()).writeInt(256 * 1_024 + 1)
                awaitClose(socket)
            }
            withTimeout(RECEIVE_TIMEOUT_MS) { while (network.counters.malformedFrames < 2) delay(5) }
        }

    private fun awaitClose(socket: Socket) {
        try {
            while (socket.getInputStream().read() >= 0) Unit
        } catch (_: SocketException) {
            // The other end also closes by a reset when it has not read everything.
        }
    }

    // Guards against messages that another release cannot read.
    @Test
    fun `should keep all fields of a heartbeat and reject truncated frames`() {
        val heartbeat =
            Heartbeat(DataCentre("solin"), 12, load = mapOf(JobClassName("a") to ClassLoad(1, 2)))
        val frame = PeerCodec.encode(FrameHeader(first, 5, 6, 77), heartbeat)
        expectThat(PeerCodec.decode(frame)).isEqualTo(Decoded.Message(ReceivedMessage(first, 5, 6, heartbeat, 77)))
        frame.indices.forEach { expectThat(PeerCodec.decode(frame.copyOf(it))).isA<Decoded.Malformed>() }
    }

    private companion object {
        // Limits the wait for a message or count that does not arrive; one that arrives does not depend on it.
        const val RECEIVE_TIMEOUT_MS = 3_000L
    }
}
