package org.orioleferry.standins.http

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.io.IOException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.orioleferry.core.api.ErrorBody
import org.orioleferry.core.api.ErrorDetail

internal val wireJson =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

/** A complete answer before it is sent, so that a fault can withhold, swap or truncate it. */
internal data class HttpAnswer(
    val status: Int,
    val body: String,
    val contentType: ContentType = ContentType.Application.Json,
)

internal inline fun <reified T> answerOf(value: T): HttpAnswer = HttpAnswer(STATUS_OK, wireJson.encodeToString(value))

internal fun errorOf(
    status: Int,
    code: String,
    message: String,
    notRun: Boolean = true,
    details: Map<String, String> = emptyMap(),
): HttpAnswer =
    HttpAnswer(status, wireJson.encodeToString(ErrorBody(ErrorDetail(code, message, notRun, details = details))))

internal fun notFound(what: String): HttpAnswer = errorOf(STATUS_NOT_FOUND, "not-found", "$what does not exist")

/** Decodes the body and answers with [block], or with 400 when the body is not of the expected type. */
internal suspend inline fun <reified T> ApplicationCall.withBody(block: (T) -> HttpAnswer): HttpAnswer {
    val text = receiveText()
    val body =
        try {
            wireJson.decodeFromString<T>(text)
        } catch (e: SerializationException) {
            return errorOf(STATUS_BAD_REQUEST, "bad-request", e.message ?: "the body is not valid")
        }
    return block(body)
}

internal suspend fun ApplicationCall.send(answer: HttpAnswer) {
    respondText(answer.body, answer.contentType, HttpStatusCode.fromValue(answer.status))
}

/** Declares the length of the whole answer, sends half of it and breaks the connection. */
internal suspend fun ApplicationCall.sendTruncated(answer: HttpAnswer) {
    respond(TruncatedContent(answer))
}

private class TruncatedContent(
    private val answer: HttpAnswer,
) : OutgoingContent.WriteChannelContent() {
    private val bytes = answer.body.toByteArray()

    override val contentLength: Long get() = bytes.size.toLong()
    override val contentType: ContentType get() = answer.contentType
    override val status: HttpStatusCode get() = HttpStatusCode.fromValue(answer.status)

    override suspend fun writeTo(channel: ByteWriteChannel) {
        channel.writeFully(bytes, 0, bytes.size / 2)
        channel.flush()
        throw IOException("the answer is truncated by a fault switch")
    }
}

internal const val STATUS_OK = 200
internal const val STATUS_BAD_REQUEST = 400
internal const val STATUS_NOT_FOUND = 404
internal const val STATUS_CONFLICT = 409
internal const val STATUS_GONE = 410
internal const val STATUS_STALE = 412
internal const val STATUS_BUSY = 429
internal const val STATUS_FAILED = 500
internal const val STATUS_UNAVAILABLE = 503
