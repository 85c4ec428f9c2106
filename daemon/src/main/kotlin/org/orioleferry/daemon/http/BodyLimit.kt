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
 * Refuses bodies over [maxBytes] bytes, by their Content-Length or, for chunked bodies, once more bytes were read,
 * so that one caller cannot fill the memory of the process.
 */
internal fun bodyLimit(maxBytes: Long): ApplicationPlugin<Unit> =
    createApplicationPlugin("BodyLimit") {
        onCallReceive { call ->
            val contentLength = call.request.header(HttpHeaders.ContentLength)?.toLongOrNull()
            if (contentLength != null && contentLength > maxBytes) throw BodyTooLargeException()
            transformBody { channel -> channel.readAtMost(maxBytes) }
        }
    }

private suspend fun ByteReadChannel.readAtMost(maxBytes: Long): ByteReadChannel {
    val bytes = readRemaining(maxBytes + 1).readByteArray()
    if (bytes.size > maxBytes) throw BodyTooLargeException()
    return ByteReadChannel(bytes)
}
