package org.orioleferry.daemon.jobs

import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receive
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import org.orioleferry.core.FailureCode
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.JobAccepted
import org.orioleferry.core.api.JobSubmission
import org.orioleferry.core.api.toErrorBody
import org.orioleferry.core.map
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.JobState
import org.orioleferry.core.model.WorkspaceName

/** Serves the job, worker, workspace and late endpoints. Needs the content negotiation plug-in with JSON. */
public fun Route.jobRoutes(jobs: JobService) {
    post("/v1/jobs") {
        val outcome = jobs.submit(call.receive<JobSubmission>())
        answer(outcome.map { JobAccepted(it.jobId, it.state) }, HttpStatusCode.Accepted)
    }
    get("/v1/jobs") {
        val workspace = call.request.queryParameters["workspace"]?.let(::WorkspaceName)
        val stateName = call.request.queryParameters["state"]
        val state = JobState.entries.find { it.name.equals(stateName, ignoreCase = true) }
        if (stateName != null && state == null) {
            answer(Outcome.Failed(refusal(FailureCode.BAD_REQUEST, "state $stateName is not known")))
        } else {
            answer(jobs.list(workspace, state))
        }
    }
    get("/v1/jobs/{id}") { answer(jobs.status(jobId())) }
    delete("/v1/jobs/{id}") { answer(jobs.cancel(jobId())) }
    get("/v1/workers") { answer(jobs.workers()) }
    get("/v1/workspaces") { answer(jobs.workspaces()) }
    get("/v1/late") { answer(jobs.late()) }
}

private fun RoutingContext.jobId(): JobId = JobId(call.parameters["id"].orEmpty())

private suspend inline fun <reified T : Any> RoutingContext.answer(
    outcome: Outcome<T>,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    when (outcome) {
        is Outcome.Success -> {
            call.respond(status, outcome.value)
        }

        is Outcome.Failed -> {
            val failure = outcome.failure
            call.respond(HttpStatusCode.fromValue(failure.code.httpStatus), failure.toErrorBody())
        }
    }
}
