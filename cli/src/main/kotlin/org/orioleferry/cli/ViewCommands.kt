package org.orioleferry.cli

import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.ktor.http.encodeURLPathPart
import org.orioleferry.core.api.InstanceList
import org.orioleferry.core.api.LateList
import org.orioleferry.core.api.PolicyList
import org.orioleferry.core.api.RequestAnswer
import org.orioleferry.core.api.RequestBody
import org.orioleferry.core.api.RequestStatus
import org.orioleferry.core.api.WorkerList
import org.orioleferry.core.api.WorkspaceList
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.WorkspaceName

internal fun requestCommands() = CommandGroup("request", "Requests").subcommands(RequestSend(), RequestStatusCommand())

internal class RequestSend : DaemonCommand("send", "Send a request; with --key a repeat is safe") {
    private val workspace by option("--workspace").required()
    private val caller by option("--caller", envvar = "ORIOLEFERRY_CALLER").required()
    private val jobClass by option("--class").required()
    private val key by option("--key", help = "Required for a class that is not idempotent")
    private val payload by option("--payload").default("")
    private val workMs by option("--work-ms", help = "Simulated run time").long().default(0)
    private val deadlineMs by option("--deadline-ms").long().restrictTo(min = 1L)

    override suspend fun execute(client: DaemonClient) {
        val body =
            RequestBody(WorkspaceName(workspace), caller, JobClassName(jobClass), key, payload, workMs, deadlineMs)
        val timeoutMs = deadlineMs?.let { it + DEADLINE_MARGIN_MS }
        val call = postCall("/v1/requests", RequestBody.serializer(), body, isRepeatable = key != null, timeoutMs)
        val recoveryHint = key?.let { "Send the same request with --key $it again: it runs at most once." }
        val answer = client.call(call, recoveryHint)
        if (isJson) printJson(answer) else echo(answer.decode(RequestAnswer.serializer()).result)
    }

    private companion object {
        // Time beyond the deadline in which the daemon can still answer with DEADLINE.
        const val DEADLINE_MARGIN_MS = 2_000L
    }
}

internal class RequestStatusCommand : DaemonCommand("status", "Show what is known about a request with a key") {
    private val workspace by argument("WORKSPACE")
    private val key by argument("KEY")

    override suspend fun execute(client: DaemonClient) =
        client.show(
            "/v1/requests/${workspace.encodeURLPathPart()}/${key.encodeURLPathPart()}",
            RequestStatus.serializer(),
            listOf("request", "state", "worker", "result", "reason"),
        ) { listOf(listOf(it.requestId, it.state, "${it.worker}", it.result ?: "-", it.reason ?: "-")) }
}

internal class Workers : DaemonCommand("workers", "List the workers and their load") {
    override suspend fun execute(client: DaemonClient) =
        client.show(
            "/v1/workers",
            WorkerList.serializer(),
            listOf("worker", "data centre", "rack", "state", "in use", "accelerators", "slots in use", "slots"),
        ) { list ->
            list.workers.map {
                val load = listOf(it.acceleratorsInUse, it.accelerators, it.slotsInUse, it.slots)
                listOf("${it.id}", "${it.dataCentre}", it.rack, it.state) + load.map { n -> "$n" }
            }
        }
}

internal class Workspaces :
    DaemonCommand("workspaces", "List the workspaces: guaranteed, used, borrowed, reclaimable") {
    override suspend fun execute(client: DaemonClient) =
        client.show(
            "/v1/workspaces",
            WorkspaceList.serializer(),
            listOf("workspace", "guaranteed", "used", "borrowed", "reclaimable"),
        ) { list ->
            list.workspaces.map {
                listOf("${it.name}", "${it.guaranteed}", "${it.used}", "${it.borrowed}", "${it.reclaimable}")
            }
        }
}

internal class Instances : DaemonCommand("instances", "List the entry instances and the data centres that they own") {
    override suspend fun execute(client: DaemonClient) =
        client.show(
            "/v1/instances",
            InstanceList.serializer(),
            listOf("instance", "data centre", "state", "note version", "owns (epoch)"),
        ) { list ->
            list.instances.map {
                val owned = it.owned.entries.joinToString(" ") { (dataCentre, epoch) -> "$dataCentre($epoch)" }
                listOf("${it.id}", "${it.dataCentre}", it.state, "${it.noteVersion}", owned.ifEmpty { "-" })
            }
        }
}

internal class LateCommand : DaemonCommand("late", "List work that is late, lost or of unknown outcome") {
    override suspend fun execute(client: DaemonClient) =
        client.show(
            "/v1/late",
            LateList.serializer(),
            listOf("kind", "id", "workspace", "state", "late by ms", "reason"),
        ) { list ->
            list.items.map { listOf(it.kind, it.id, "${it.workspace}", it.state, "${it.lateMs}", it.reason ?: "-") }
        }
}

internal class PolicyListCommand : DaemonCommand("list", "List the placement policies in force") {
    override suspend fun execute(client: DaemonClient) =
        client.show(
            "/v1/policies",
            PolicyList.serializer(),
            listOf("policy", "placement", "data centres"),
        ) { list ->
            list.policies.map {
                val placement =
                    it.placement.name
                        .lowercase()
                        .replace('_', '-')
                listOf(it.name, placement, it.dataCentres.joinToString(" ").ifEmpty { "all" })
            }
        }
}
