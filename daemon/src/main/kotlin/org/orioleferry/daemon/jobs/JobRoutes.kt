package org.orioleferry.daemon.jobs

import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receive
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import org.orioleferry.core.api.JobSubmission
import org.orioleferry.core.model.JobId
import org.orioleferry.daemon.http.respondOutcome

/** Serves the jobs of all data centres. */
internal fun Route.jobRoutes(service: JobService) {
    post("/v1/jobs") {
        call.respondOutcome(service.submit(call.receive<JobSubmission>()), HttpStatusCode.Accepted)
    }
    get("/v1/jobs/{id}") { call.respondOutcome(service.status(call.jobId())) }
    delete("/v1/jobs/{id}") { call.respondOutcome(service.cancel(call.jobId())) }
}

private fun RoutingCall.jobId(): JobId = JobId(parameters["id"].orEmpty())
