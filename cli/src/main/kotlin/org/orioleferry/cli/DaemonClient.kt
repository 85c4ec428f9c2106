package org.orioleferry.cli

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.content.TextContent
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.orioleferry.core.FailureCode
import org.orioleferry.core.api.ErrorBody
import org.orioleferry.core.api.ErrorDetail
import java.io.Closeable
import java.io.IOException
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.nio.channels.UnresolvedAddressException

internal val toolJson: Json =
    Json {
        ignoreUnknownKeys = true
        prettyPrint = true
    }

/**
 * One call to a daemon.
 *
 * @property isRepeatable whether the call may be sent to another daemon when an earlier one may have received it.
 */
internal data class ApiCall(
    val method: HttpMethod,
    val path: String,
    val body: String? = null,
    val isRepeatable: Boolean = method == HttpMethod.Get,
    val timeoutMs: Long? = null,
)

/** A call that one daemon did not answer, and the reason. */
internal data class Attempt(
    val daemon: String,
    val reason: String,
    val mayHaveBeenReceived: Boolean,
)

/** Outcome of a call. */
internal sealed interface Reply {
    data class Answered(
        val body: JsonObject,
        val daemon: String,
    ) : Reply

    /** A typed failure. It says nothing about the outcome of the [earlier] attempts at other daemons. */
    data class Refused(
        val error: ErrorDetail,
        val daemon: String,
        val earlier: List<Attempt> = emptyList(),
    ) : Reply

    /** No daemon answered. When any attempt may have been received, the outcome of the call is unknown. */
    data class Unanswered(
        val attempts: List<Attempt>,
    ) : Reply

    data class Invalid(
        val reason: String,
        val daemon: String,
    ) : Reply
}

/** Sends calls to the first of [daemons] that answers. */
internal class DaemonClient(
    private val daemons: List<String>,
    private val timeoutMs: Long,
) : Closeable {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            followRedirects = false
            install(HttpTimeout) { connectTimeoutMillis = CONNECT_TIMEOUT_MS }
        }

    /** Tries the daemons in turn until one answers or [call] may not be sent again; skips daemons that are draining. */
    suspend fun send(call: ApiCall): Reply {
        val attempts = mutableListOf<Attempt>()
        var drainingReply: Reply? = null
        for (daemon in daemons) {
            when (val result = sendTo(daemon, call)) {
                is Result.Failed -> {
                    attempts += result.attempt
                    if (result.attempt.mayHaveBeenReceived && !call.isRepeatable) break
                }

                is Result.Replied -> {
                    val reply = (result.reply as? Reply.Refused)?.copy(earlier = attempts.toList()) ?: result.reply
                    if (!isDraining(reply)) return reply
                    drainingReply = reply
                }
            }
        }
        val isUnknown = attempts.any { it.mayHaveBeenReceived }
        return drainingReply.takeUnless { isUnknown } ?: Reply.Unanswered(attempts)
    }

    /** Sends [call] to every daemon. */
    suspend fun sendToAll(call: ApiCall): List<Reply> =
        daemons.map { daemon ->
            when (val result = sendTo(daemon, call)) {
                is Result.Failed -> Reply.Unanswered(listOf(result.attempt))
                is Result.Replied -> result.reply
            }
        }

    override fun close() = client.close()

    private suspend fun sendTo(
        daemon: String,
        call: ApiCall,
    ): Result =
        try {
            val limitMs = call.timeoutMs ?: timeoutMs
            val response =
                client.request("$daemon${call.path}") {
                    method = call.method
                    timeout { requestTimeoutMillis = limitMs }
                    call.body?.let { setBody(TextContent(it, ContentType.Application.Json)) }
                }
            Result.Replied(toReply(response.status.value, response.bodyAsText(), daemon))
        } catch (e: UnresolvedAddressException) {
            Result.Failed(Attempt(daemon, "the address cannot be resolved", mayHaveBeenReceived = false))
        } catch (e: IOException) {
            val neverConnected = e is ConnectException || e is NoRouteToHostException
            Result.Failed(Attempt(daemon, e.message ?: e.javaClass.simpleName, !neverConnected))
        }

    private fun toReply(
        status: Int,
        text: String,
        daemon: String,
    ): Reply =
        try {
            if (status in 200..299) {
                Reply.Answered(toolJson.decodeFromString(JsonObject.serializer(), text.ifEmpty { "{}" }), daemon)
            } else {
                Reply.Refused(toolJson.decodeFromString(ErrorBody.serializer(), text).error, daemon)
            }
        } catch (e: SerializationException) {
            Reply.Invalid("status $status with a body that is no valid answer", daemon)
        }

    private fun isDraining(reply: Reply): Boolean =
        reply is Reply.Refused && reply.error.notRun && reply.error.code == FailureCode.DRAINING.name

    private sealed interface Result {
        data class Replied(
            val reply: Reply,
        ) : Result

        data class Failed(
            val attempt: Attempt,
        ) : Result
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 2_000L
    }
}
