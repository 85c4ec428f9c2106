package org.orioleferry.daemon.http

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.content.ByteArrayContent
import io.ktor.http.content.OutgoingContent
import io.ktor.http.content.TextContent
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receive
import io.ktor.server.response.respond
import io.ktor.server.routing.post
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.orioleferry.core.api.ErrorBody
import org.orioleferry.core.api.RequestBody
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import io.ktor.server.cio.CIO as ServerCIO

class HttpApiTest {
    // Guards against a stack trace or an untyped answer for a body that cannot be decoded.
    @Test
    fun `should name the missing field of a body`() {
        val answer = post(TextContent("""{"workspace":"sheds"}""", ContentType.Application.Json))
        expectThat(answer.first).isEqualTo(400)
        expectThat(answer.second.error.message).contains("caller")
        expectThat(answer.second.error.notRun).isTrue()
    }

    // Guards against one caller exhausting the memory with a body that has a Content-Length.
    @Test
    fun `should refuse a large body by its content length`() {
        val answer = post(ByteArrayContent(ByteArray(2_000), ContentType.Application.Json))
        expectThat(answer.second.error.code).isEqualTo("TOO_LARGE")
    }

    // Guards against one caller exhausting the memory with a chunked body, which has no Content-Length.
    @Test
    fun `should refuse a large chunked body`() {
        val body =
            object : OutgoingContent.WriteChannelContent() {
                override val contentType = ContentType.Application.Json

                override suspend fun writeTo(channel: ByteWriteChannel) = channel.writeStringUtf8("x".repeat(4_000))
            }
        expectThat(post(body).second.error.code).isEqualTo("TOO_LARGE")
    }

    // Guards against an unknown endpoint that is answered without a typed error.
    @Test
    fun `should answer an unknown endpoint with a typed error`() {
        val answer = post(TextContent("{}", ContentType.Application.Json), path = "/v1/nothing")
        expectThat(answer.first).isEqualTo(404)
        expectThat(answer.second.error.code).isEqualTo("NOT_FOUND")
    }

    private fun post(
        content: OutgoingContent,
        path: String = "/echo",
    ): Pair<Int, ErrorBody> =
        runBlocking {
            val server =
                embeddedServer(ServerCIO, port = 0, host = "127.0.0.1") {
                    httpApi(maxBodyBytes = 1_000) { post("/echo") { call.respond(call.receive<RequestBody>()) } }
                }.start()
            try {
                val port =
                    server.engine
                        .resolvedConnectors()
                        .first()
                        .port
                HttpClient(CIO).use { client ->
                    client.post("http://127.0.0.1:$port$path") { setBody(content) }.decode()
                }
            } finally {
                server.stop(0, 0)
            }
        }

    private suspend fun HttpResponse.decode(): Pair<Int, ErrorBody> =
        status.value to apiJson.decodeFromString<ErrorBody>(bodyAsText())
}
