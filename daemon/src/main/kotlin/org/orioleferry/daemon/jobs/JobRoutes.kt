package org.orioleferry.daemon.jobs

import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receive
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import org.orioleferry.core.FailureCode
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.JobAccepted
import org.orioleferry.core.api.JobSubmission
import org.orioleferry.core.api.LateList
import org.orioleferry.core.map
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.JobState
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.daemon.http.respondOutcome

/** Serves the job, worker and workspace endpoints, and the list of [late] work for operators. */
internal fun Route.jobRoutes(
    jobs: JobService,
    late: suspend () -> Outcome<LateList>,
) {
    post("/v1/jobs") {
        val outcome = jobs.submit(call.receive<JobSubmission>())
        call.respondOutcome(outcome.map { JobAccepted(it.jobId, it.state) }, HttpStatusCode.Accepted)
    }
    get("/v1/jobs") {
        val workspace = call.request.queryParameters["workspace"]?.let(::WorkspaceName)
        val stateName = call.request.queryParameters["state"]
        val state = JobState.entries.find { it.name.equals(stateName, ignoreCase = true) }
        if (stateName != null && state == null) {
            call.respondOutcome(Outcome.Failed(refusal(FailureCode.BAD_REQUEST, "state $stateName is not known")))
        } else {
            call.respondOutcome(jobs.list(workspace, state))
        }
    }
    get("/v1/jobs/{id}") { call.respondOutcome(jobs.status(call.jobId())) }
    delete("/v1/jobs/{id}") { call.respondOutcome(jobs.cancel(call.jobId())) }
    get("/v1/workers") { call.respondOutcome(jobs.workers()) }
    get("/v1/workspaces") { call.respondOutcome(jobs.workspaces()) }
    get("/v1/late") { call.respondOutcome(late()) }
}

private fun RoutingCall.jobId(): JobId = JobId(parameters["id"].orEmpty())
