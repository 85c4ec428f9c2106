package org.orioleferry.cli

import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.ktor.http.HttpMethod
import kotlinx.coroutines.delay
import org.orioleferry.core.api.JobAccepted
import org.orioleferry.core.api.JobList
import org.orioleferry.core.api.JobSubmission
import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.core.model.WorkspaceName
import java.util.UUID
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

internal fun jobCommands() =
    CommandGroup("job", "Jobs").subcommands(JobSubmit(), JobStatus(), JobListCommand(), JobCancel())

private val JOB_HEADINGS = listOf("job", "state", "workspace", "class", "caller", "accelerators", "attempt", "workers")

private fun JobRecord.toRow(): List<String> =
    listOf(
        "$jobId",
        state.name.lowercase(),
        "$workspace",
        "$jobClass",
        caller,
        "${gang.accelerators}",
        "$attempt",
        members.joinToString(" ") { it.worker.value }.ifEmpty { "-" },
    )

internal class JobSubmit : DaemonCommand("submit", "Submit a job, and with --wait follow it to its end") {
    private val workspace by option("--workspace").required()
    private val caller by option("--caller", envvar = "ORIOLEFERRY_CALLER").required()
    private val jobClass by option("--class").required()
    private val dataCentre by option("--data-centre", help = "Chosen by the daemon when absent")
    private val members by option("--members", help = "Tasks of the gang").int().restrictTo(min = 1).default(1)
    private val accelerators by option("--accelerators", help = "Accelerators of each member")
        .int()
        .restrictTo(min = 0)
        .default(1)
    private val adjacency by option("--adjacency")
        .choice("worker" to Adjacency.WORKER, "rack" to Adjacency.RACK, "data-centre" to Adjacency.DATA_CENTRE)
        .default(Adjacency.DATA_CENTRE)
    private val declaredRunMs by option("--declared-run-ms").long().restrictTo(min = 1L).required()
    private val workMs by option("--work-ms", help = "Simulated run time; the declared one when absent").long()
    private val suffix by option("--suffix", help = "Last part of the job id; random when absent")
    private val wait by option("--wait", help = "Wait until the job has ended").flag()
    private val waitMs by option("--wait-ms", help = "Longest wait in milliseconds").long().default(86_400_000)

    override suspend fun execute(client: DaemonClient) {
        // The suffix makes a repeat safe only for a given data centre; otherwise daemons may choose different ones.
        val uniqueSuffix = suffix ?: UUID.randomUUID().toString().take(RANDOM_SUFFIX_LENGTH)
        val submission =
            JobSubmission(
                WorkspaceName(workspace),
                caller,
                JobClassName(jobClass),
                Gang(members, accelerators, adjacency),
                declaredRunMs,
                workMs ?: declaredRunMs,
                dataCentre?.let(::DataCentre),
                uniqueSuffix,
            )
        val call = postCall("/v1/jobs", JobSubmission.serializer(), submission, isRepeatable = dataCentre != null)
        val id = "${dataCentre ?: "<data centre>"}.$uniqueSuffix"
        val answer = client.call(call, "Ask for it with: orioleferry job status $id")
        if (!wait) return if (isJson) printJson(answer) else echo(answer.decode(JobAccepted.serializer()).jobId.value)
        val last = client.awaitEnd(answer.decode(JobAccepted.serializer()).jobId)
        if (isJson) printJson(toolJson.encodeToJsonElement(JobRecord.serializer(), last)) else printFinalState(last)
        if (last.state != JobState.DONE) exit(ExitCode.FAILED)
    }

    private fun printFinalState(job: JobRecord) {
        val reason = job.reason?.let { ": $it" }.orEmpty()
        echo("${job.jobId} ${job.state.name.lowercase()} after attempt ${job.attempt}$reason")
    }

    private suspend fun DaemonClient.awaitEnd(id: JobId): JobRecord {
        val start = TimeSource.Monotonic.markNow()
        while (true) {
            val job = call(getCall(jobPath(id.value))).decode(JobRecord.serializer())
            val elapsed = start.elapsedNow()
            showProgress("$id ${job.state.name.lowercase()}, attempt ${job.attempt}, ${elapsed.inWholeSeconds} s")
            if (job.state.isFinal) return job.also { endProgress() }
            if (elapsed > waitMs.milliseconds) {
                endProgress()
                echo("$id is still ${job.state.name.lowercase()}", err = true)
                exit(ExitCode.TIMED_OUT)
            }
            delay(JOB_POLL_MS)
        }
    }

    private companion object {
        const val JOB_POLL_MS = 500L
        const val RANDOM_SUFFIX_LENGTH = 13
    }
}

internal class JobStatus : DaemonCommand("status", "Show one job") {
    private val id by argument("JOB")

    override suspend fun execute(client: DaemonClient) =
        client.show(jobPath(id), JobRecord.serializer(), JOB_HEADINGS + "reason") { job ->
            listOf(job.toRow() + (job.reason ?: "-"))
        }
}

internal class JobListCommand : DaemonCommand("list", "List jobs") {
    private val workspace by option("--workspace")
    private val state by option("--state").choice(JobState.entries.associateBy { it.name.lowercase() })

    override suspend fun execute(client: DaemonClient) {
        val call = getCall("/v1/jobs", "workspace" to workspace, "state" to state?.name?.lowercase())
        client.show(call.path, JobList.serializer(), JOB_HEADINGS) { list -> list.jobs.map { it.toRow() } }
    }
}

internal class JobCancel : DaemonCommand("cancel", "Cancel a job; cancelling it again is safe") {
    private val id by argument("JOB")

    override suspend fun execute(client: DaemonClient) {
        val call = ApiCall(HttpMethod.Delete, jobPath(id), isRepeatable = true)
        val answer = client.call(call, "Ask for it with: orioleferry job status $id")
        if (isJson) printJson(answer) else echo("Cancellation of $id is recorded")
    }
}
