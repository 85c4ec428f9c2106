package org.orioleferry.standins.measure

import io.ktor.client.HttpClient
import io.ktor.client.HttpClientConfig
import io.ktor.client.engine.HttpClientEngineConfig
import io.ktor.client.engine.HttpClientEngineFactory
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.java.Java
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.content.TextContent
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.future.await
import kotlinx.serialization.encodeToString
import org.orioleferry.platform.DispatchResult
import org.orioleferry.platform.WorkerAnswer
import org.orioleferry.platform.WorkerRequest
import org.orioleferry.platform.http.HttpTransport
import org.orioleferry.platform.http.HttpWorkerClient
import org.orioleferry.standins.http.wireJson
import java.net.URI
import java.net.http.HttpClient.Version
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers

/** An open client of one engine. */
internal class EngineVariant(
    val send: SendRequest,
    private val onClose: () -> Unit,
) : AutoCloseable {
    override fun close(): Unit = onClose()
}

/** Factories that open a client for the worker at a base URL, by engine name. The caller closes each client. */
internal val engineVariants: Map<String, (String) -> EngineVariant> =
    mapOf(
        "http-link" to ::httpTransport,
        "cio-default-dispatcher" to { url -> ktor(url, CIO) { engine { dispatcher = Dispatchers.Default } } },
        "ktor-java" to { url -> ktor(url, Java) { engine { protocolVersion = Version.HTTP_1_1 } } },
        "jdk-connection-per-call" to { url -> jdk(url) { header(HttpHeaders.Connection, "close") } },
        "jdk-kept-connections" to { url -> jdk(url) { this } },
    )

private fun httpTransport(baseUrl: String): EngineVariant {
    val transport = HttpTransport()
    val client = HttpWorkerClient(baseUrl, DEADLINE_MS, transport)
    return EngineVariant({ client.dispatch(it, DEADLINE_MS) is DispatchResult.Answered }, transport::close)
}

private fun <T : HttpClientEngineConfig> ktor(
    baseUrl: String,
    engine: HttpClientEngineFactory<T>,
    configure: HttpClientConfig<T>.() -> Unit,
): EngineVariant {
    val client = HttpClient(engine) { configure() }
    val send: SendRequest = { request ->
        val response =
            client.post("$baseUrl/requests") {
                setBody(TextContent(wireJson.encodeToString(request), ContentType.Application.Json))
            }
        isAnswerTo(request, response.bodyAsText())
    }
    return EngineVariant(send, client::close)
}

/**
 * Lets the Java library's client send the `Connection` header, which it rejects otherwise. Must be called before any
 * variant is opened, since the property is read when the client's classes are loaded.
 */
internal fun allowConnectionHeader() {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "connection")
}

/** The client that the Java engine of Ktor wraps. */
private fun jdk(
    baseUrl: String,
    configure: HttpRequest.Builder.() -> HttpRequest.Builder,
): EngineVariant {
    val client =
        java.net.http.HttpClient
            .newBuilder()
            .version(Version.HTTP_1_1)
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
