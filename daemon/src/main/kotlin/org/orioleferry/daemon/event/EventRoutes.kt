package org.orioleferry.daemon.event

import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import org.orioleferry.core.Failure
import org.orioleferry.core.FailureCode
import org.orioleferry.core.api.EventList
import org.orioleferry.daemon.http.respondFailure

private val FILTERS = listOf("job", "request", "worker", "workspace")

/** Serves `GET /v1/events`: the events of this process after logical time `since` that match the filters. */
internal fun Route.eventRoutes(events: EventLog) {
    get("/v1/events") {
        val query = call.request.queryParameters
        val since = (query["since"] ?: "0").toLongOrNull()
        if (since == null) {
            call.respondFailure(Failure(FailureCode.BAD_REQUEST, "since must be a whole number", true))
            return@get
        }
        val filters = FILTERS.mapNotNull { name -> query[name]?.let { name to it } }.toMap()
        call.respond(EventList(events.select(since, filters)))
    }
}
