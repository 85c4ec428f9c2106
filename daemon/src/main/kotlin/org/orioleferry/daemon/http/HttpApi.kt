package org.orioleferry.daemon.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.http.HttpStatusCode
import io.ktor.serialization.kotlinx.json.json
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.http.content.HttpStatusCodeContent
import io.ktor.server.plugins.BadRequestException
import io.ktor.server.plugins.ContentTransformationException
import io.ktor.server.plugins.contentnegotiation.ContentNegotiation
import io.ktor.server.plugins.statuspages.StatusPages
import io.ktor.server.request.path
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.MissingFieldException
import kotlinx.serialization.json.Json
import org.orioleferry.core.Failure
import org.orioleferry.core.FailureCode
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.toErrorBody

private val logger = KotlinLogging.logger {}

/** JSON of the daemon's API: unknown fields are ignored, defaults are written out. */
internal val apiJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
        explicitNulls = false
    }

/** Installs JSON, the body limit and typed errors, then the [routes]. */
internal fun Application.httpApi(
    maxBodyBytes: Long,
    routes: Route.() -> Unit,
) {
    install(bodyLimit(maxBodyBytes))
    install(ContentNegotiation) { json(apiJson) }
    install(StatusPages) {
        exception<Throwable> { call, cause -> call.respondException(cause, maxBodyBytes) }
        status(HttpStatusCode.NotFound, HttpStatusCode.MethodNotAllowed) { status ->
            // The routing answers with a bare status; an answer with a body is a typed error of an endpoint.
            if (content !is HttpStatusCodeContent) return@status
            call.respondFailure(
                Failure(FailureCode.NOT_FOUND, "no endpoint ${call.request.path()} with this method", true),
                status,
            )
        }
        status(HttpStatusCode.UnsupportedMediaType) { call, status ->
            call.respondFailure(Failure(FailureCode.BAD_REQUEST, "the body must be application/json", true), status)
        }
    }
    routing(routes)
}

/** Answers with the value of a success, or with the typed failure. */
internal suspend inline fun <reified T : Any> ApplicationCall.respondOutcome(
    outcome: Outcome<T>,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    when (outcome) {
        is Outcome.Success -> respond(status, outcome.value)
        is Outcome.Failed -> respondFailure(outcome.failure)
    }
}

/** Answers with a typed failure. */
internal suspend fun ApplicationCall.respondFailure(
    failure: Failure,
    status: HttpStatusCode = HttpStatusCode.fromValue(failure.code.httpStatus),
) {
    respond(status, failure.toErrorBody())
}

private suspend fun ApplicationCall.respondException(
    cause: Throwable,
    maxBodyBytes: Long,
) {
    if (cause is CancellationException) throw cause
    respondFailure(cause.toFailure(maxBodyBytes))
}

private fun Throwable.toFailure(maxBodyBytes: Long): Failure =
    when {
        causes().any { it is BodyTooLargeException } -> {
            Failure(FailureCode.TOO_LARGE, "the body has more than $maxBodyBytes bytes", true)
        }

        // Bodies are decoded before any work begins, so a body that cannot be decoded has certainly not run.
        this is BadRequestException || this is ContentTransformationException -> {
            Failure(FailureCode.BAD_REQUEST, describe(), true)
        }

        else -> {
            logger.error(this) { "unexpected exception while handling a request" }
            Failure(FailureCode.INTERNAL, "internal error; the outcome is unknown", false)
        }
    }

private fun Throwable.causes(): Sequence<Throwable> = generateSequence(this) { it.cause }

@OptIn(ExperimentalSerializationApi::class)
private fun Throwable.describe(): String {
    val missing = causes().filterIsInstance<MissingFieldException>().firstOrNull()
    if (missing != null) return "missing fields: ${missing.missingFields.joinToString()}"
    return causes()
        .last()
        .message
        ?.lineSequence()
        ?.first() ?: "the body cannot be decoded"
}
