package org.orioleferry.coordination.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel
import org.orioleferry.core.model.InstanceId

/** Envelope of every frame. The body is opaque, so that a message of an unknown kind does not break the frame. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class Envelope(
    @CborLabel(1) val version: Int,
    @CborLabel(2) val kind: String,
    @CborLabel(3) val from: InstanceId,
    @CborLabel(4) val incarnation: Long,
    @CborLabel(5) val sequence: Long,
    @CborLabel(6) @ByteString val body: ByteArray,
    @CborLabel(7) val logicalTime: Long = 0,
)

/** Fields of a frame that describe its sender. */
internal data class FrameHeader(
    val from: InstanceId,
    val incarnation: Long,
    val sequence: Long,
    val logicalTime: Long = 0,
)

/** Result of decoding a frame. */
internal sealed interface Decoded {
    data class Message(
        val received: ReceivedMessage,
    ) : Decoded

    /** A kind or version that this process does not know. The sender may run a newer release. */
    data class Unknown(
        val kind: String,
    ) : Decoded

    data class Malformed(
        val reason: String,
    ) : Decoded
}

/** Encodes and decodes frames. */
@OptIn(ExperimentalSerializationApi::class)
internal object PeerCodec {
    private const val VERSION = 1

    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            preferCborLabelsOverNames = true
            useDefiniteLengthEncoding = true
        }

    private val serializers: Map<String, KSerializer<out PeerMessage>> =
        mapOf(
            "heartbeat" to Heartbeat.serializer(),
            "notes-request" to NotesRequest.serializer(),
            "notes" to Notes.serializer(),
            "job-hint" to JobHint.serializer(),
            "events-request" to EventsRequest.serializer(),
            "events" to Events.serializer(),
            "keep-alive" to KeepAlive.serializer(),
        )

    fun encode(
        header: FrameHeader,
        message: PeerMessage,
    ): ByteArray =
        when (message) {
            is Heartbeat -> encode(header, "heartbeat", Heartbeat.serializer(), message)
            is NotesRequest -> encode(header, "notes-request", NotesRequest.serializer(), message)
            is Notes -> encode(header, "notes", Notes.serializer(), message)
            is JobHint -> encode(header, "job-hint", JobHint.serializer(), message)
            is EventsRequest -> encode(header, "events-request", EventsRequest.serializer(), message)
            is Events -> encode(header, "events", Events.serializer(), message)
            KeepAlive -> encode(header, "keep-alive", KeepAlive.serializer(), KeepAlive)
        }

    private fun <T> encode(
        header: FrameHeader,
        kind: String,
        serializer: KSerializer<T>,
        message: T,
    ): ByteArray {
        val body = cbor.encodeToByteArray(serializer, message)
        val envelope =
            with(header) { Envelope(VERSION, kind, from, incarnation, sequence, body, logicalTime) }
        return cbor.encodeToByteArray(Envelope.serializer(), envelope)
    }

    fun decode(frame: ByteArray): Decoded =
        try {
            val envelope = cbor.decodeFromByteArray(Envelope.serializer(), frame)
            val serializer = serializers[envelope.kind]
            if (serializer == null || envelope.version != VERSION) {
                Decoded.Unknown(envelope.kind)
            } else {
                val message = cbor.decodeFromByteArray(serializer, envelope.body)
                val received =
                    with(envelope) { ReceivedMessage(from, incarnation, sequence, message, logicalTime) }
                Decoded.Message(received)
            }
        } catch (failure: RuntimeException) {
            // The decoder throws several unrelated exceptions for damaged input, not only SerializationException.
            Decoded.Malformed(failure.toString())
        }
}
