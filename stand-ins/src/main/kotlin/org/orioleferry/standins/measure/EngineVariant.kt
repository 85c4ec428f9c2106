package org.orioleferry.standins.measure

import io.ktor.client.HttpClient
import io.ktor.client.HttpClientConfig
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.CIOEngineConfig
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.content.TextContent
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.future.await
import kotlinx.serialization.encodeToString
import org.orioleferry.platform.DispatchResult
import org.orioleferry.platform.WorkerAnswer
import org.orioleferry.platform.WorkerRequest
import org.orioleferry.platform.http.HttpLink
import org.orioleferry.platform.http.HttpWorkerClient
import org.orioleferry.standins.http.wireJson
import java.net.URI
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers

/** An open client of one kind. */
internal class EngineVariant(
    val send: SendRequest,
    private val onClose: () -> Unit,
) : AutoCloseable {
    override fun close(): Unit = onClose()
}

/** Opens a client of each kind for the worker at [baseUrl]. Each is closed by the caller. */
internal fun engineVariants(baseUrl: String): Map<String, EngineVariant> =
    mapOf(
        "http-link" to httpLink(baseUrl),
        "cio-default-dispatcher" to cio(baseUrl) { engine { dispatcher = Dispatchers.Default } },
        "jdk-connection-per-call" to jdk(baseUrl) { header("Connection", "close") },
        "jdk-kept-connections" to jdk(baseUrl) { this },
    )

private fun httpLink(baseUrl: String): EngineVariant {
    val link = HttpLink()
    val client = HttpWorkerClient(baseUrl, DEADLINE_MS, link)
    return EngineVariant({ client.dispatch(it, DEADLINE_MS) is DispatchResult.Answered }, link::close)
}

private fun cio(
    baseUrl: String,
    configure: HttpClientConfig<CIOEngineConfig>.() -> Unit,
): EngineVariant {
    val client = HttpClient(CIO) { configure() }
    val send: SendRequest = { request ->
        val response =
            client.post("$baseUrl/requests") {
                setBody(TextContent(wireJson.encodeToString(request), ContentType.Application.Json))
            }
        isAnswerTo(request, response.bodyAsText())
    }
    return EngineVariant(send, client::close)
}

/** The client that the Java engine of Ktor wraps; the engine itself is not among the project's libraries. */
private fun jdk(
    baseUrl: String,
    configure: HttpRequest.Builder.() -> HttpRequest.Builder,
): EngineVariant {
    // The client rejects the header otherwise. The property is read when the client's classes are loaded.
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "connection")
    val client =
        java.net.http.HttpClient
            .newBuilder()
            .version(java.net.http.HttpClient.Version.HTTP_1_1)
            .build()
    val send: SendRequest = { request ->
        val body = HttpRequest.BodyPublishers.ofString(wireJson.encodeToString(request))
        val call =
            HttpRequest
                .newBuilder(URI("$baseUrl/requests"))
                .POST(body)
                .configure()
                .build()
        isAnswerTo(request, client.sendAsync(call, BodyHandlers.ofString()).await().body())
    }
    return EngineVariant(send) { }
}

private fun isAnswerTo(
    request: WorkerRequest,
    body: String,
): Boolean = wireJson.decodeFromString<WorkerAnswer>(body).requestId == request.requestId

private const val DEADLINE_MS = 20_000L
