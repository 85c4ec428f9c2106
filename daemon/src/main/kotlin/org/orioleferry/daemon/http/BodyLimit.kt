package org.orioleferry.daemon.http

import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationPlugin
import io.ktor.server.application.createApplicationPlugin
import io.ktor.server.request.header
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray

/** The body of a call is larger than the settings allow. */
internal class BodyTooLargeException : Exception("the body is too large")

/**
 * Refuses bodies over [maxBytes] bytes, by their stated length or, for chunked bodies, once that many were read,
 * so that one caller cannot fill the memory of the process.
 */
internal fun bodyLimit(maxBytes: Long): ApplicationPlugin<Unit> =
    createApplicationPlugin("BodyLimit") {
        onCallReceive { call ->
            val stated = call.request.header(HttpHeaders.ContentLength)?.toLongOrNull()
            if (stated != null && stated > maxBytes) throw BodyTooLargeException()
            transformBody { channel -> channel.readAtMost(maxBytes) }
        }
    }

private suspend fun ByteReadChannel.readAtMost(maxBytes: Long): ByteReadChannel {
    val bytes = readRemaining(maxBytes + 1).readByteArray()
    if (bytes.size > maxBytes) throw BodyTooLargeException()
    return ByteReadChannel(bytes)
}
