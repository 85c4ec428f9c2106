package org.orioleferry.daemon.requests

import io.ktor.http.HttpHeaders
import io.ktor.server.request.receive
import io.ktor.server.response.header
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.RequestBody
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.daemon.http.respondOutcome

private const val MS_PER_SECOND = 1_000L

/** Serves `POST /v1/requests` and `GET /v1/requests/{workspace}/{key}`. */
internal fun Route.requestRoutes(service: RequestService) {
    post("/v1/requests") {
        val outcome = service.handle(call.receive<RequestBody>())
        (outcome as? Outcome.Failed)?.failure?.retryAfterMs?.let { retryAfterMs ->
            val seconds = (retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND
            call.response.header(HttpHeaders.RetryAfter, seconds.toString())
        }
        call.respondOutcome(outcome)
    }
    get("/v1/requests/{workspace}/{key}") {
        val workspace = WorkspaceName(call.parameters["workspace"].orEmpty())
        call.respondOutcome(service.lookUp(workspace, call.parameters["key"].orEmpty()))
    }
}
