package org.orioleferry.bench.load

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.encodeToString
import org.orioleferry.bench.process.DaemonProcess
import org.orioleferry.bench.process.benchJson
import org.orioleferry.core.api.ErrorBody
import org.orioleferry.core.api.ErrorDetail
import org.orioleferry.core.api.JobAccepted
import org.orioleferry.core.api.JobList
import org.orioleferry.core.api.JobSubmission
import org.orioleferry.core.api.NoteAccepted
import org.orioleferry.core.api.NoteStatus
import org.orioleferry.core.api.RequestAnswer
import org.orioleferry.core.api.RequestBody
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.ReleaseNote
import java.util.concurrent.atomic.AtomicInteger

/** Result of one call to a daemon. */
internal sealed interface CallResult<out T> {
    data class Answered<T>(
        val value: T,
    ) : CallResult<T>

    data class Refused(
        val error: ErrorDetail,
    ) : CallResult<Nothing>

    /** No complete answer was received; the work may have run. */
    data class Broken(
        val reason: String,
    ) : CallResult<Nothing>
}

/** HTTP client that distributes calls over [daemons] in turn, as a load balancer does. */
internal class DaemonClient(
    private val daemons: () -> List<DaemonProcess>,
) : AutoCloseable {
    private val next = AtomicInteger()
    private val client =
        HttpClient(CIO) {
            engine { maxConnectionsCount = MAX_CONNECTIONS }
            install(HttpTimeout) {
                requestTimeoutMillis = CALL_TIMEOUT_MS
                connectTimeoutMillis = CONNECT_TIMEOUT_MS
            }
        }

    suspend fun send(body: RequestBody): CallResult<RequestAnswer> =
        post("/v1/requests", benchJson.encodeToString(body))

    suspend fun submit(submission: JobSubmission): CallResult<JobAccepted> =
        post("/v1/jobs", benchJson.encodeToString(submission))

    suspend fun job(id: JobId): CallResult<JobRecord> = get("/v1/jobs/$id")

    suspend fun cancel(id: JobId): CallResult<JobRecord> = call { base -> client.delete("$base/v1/jobs/$id") }

    suspend fun jobs(): CallResult<JobList> = get("/v1/jobs")

    suspend fun apply(note: ReleaseNote): CallResult<NoteAccepted> = post("/v1/notes", benchJson.encodeToString(note))

    suspend fun noteStatus(): CallResult<NoteStatus> = get("/v1/notes/status")

    /** Body of `GET` [path] on [daemon], or null when the call failed. */
    suspend fun getText(
        daemon: DaemonProcess,
        path: String,
    ): String? = runCatching { client.get(daemon.baseUrl + path).bodyAsText() }.getOrNull()

    override fun close() = client.close()

    private suspend inline fun <reified T> post(
        path: String,
        json: String,
    ): CallResult<T> =
        call { base ->
            client.post(base + path) {
                jsonBody(json)
            }
        }

    private suspend inline fun <reified T> get(path: String): CallResult<T> = call { base -> client.get(base + path) }

    private suspend inline fun <reified T> call(block: (baseUrl: String) -> HttpResponse): CallResult<T> {
        val targets = daemons()
        if (targets.isEmpty()) return CallResult.Broken("no daemon")
        val target = targets[Math.floorMod(next.getAndIncrement(), targets.size)]
        return try {
            block(target.baseUrl).toResult()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            CallResult.Broken(e.toString())
        }
    }

    private suspend inline fun <reified T> HttpResponse.toResult(): CallResult<T> {
        val text = bodyAsText()
        return if (status.isSuccess()) {
            CallResult.Answered(benchJson.decodeFromString<T>(text))
        } else {
            CallResult.Refused(benchJson.decodeFromString<ErrorBody>(text).error)
        }
    }

    private fun HttpRequestBuilder.jsonBody(json: String) {
        contentType(ContentType.Application.Json)
        setBody(json)
    }

    private companion object {
        const val CALL_TIMEOUT_MS = 15_000L
        const val CONNECT_TIMEOUT_MS = 1_000L
        const val MAX_CONNECTIONS = 2_000
    }
}
