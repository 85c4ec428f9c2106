package org.orioleferry.cli

import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import org.orioleferry.core.api.EventList
import org.orioleferry.core.event.EventFilter
import org.orioleferry.core.event.mergeTimelines
import java.time.Instant

internal class Timeline : DaemonCommand("timeline", "Merge the events of all daemons given into one time line") {
    private val job by option("--job")
    private val request by option("--request")
    private val worker by option("--worker")
    private val workspace by option("--workspace")
    private val since by option("--since", help = "Logical time; only later events are shown").long()

    override suspend fun execute(client: DaemonClient) {
        val call =
            getCall(
                "/v1/events",
                "job" to job,
                "request" to request,
                "worker" to worker,
                "workspace" to workspace,
                "since" to since,
            )
        val lists = client.sendToAll(call).mapNotNull { toEvents(it) }
        if (lists.isEmpty()) exit(ExitCode.NO_DAEMON)
        val filter = EventFilter(job, request, worker, workspace, since)
        val events = mergeTimelines(lists.map { it.events }).filter(filter::matches)
        if (isJson) {
            printJson(toolJson.encodeToJsonElement(EventList.serializer(), EventList(events)))
            return
        }
        val rows =
            events.map {
                val attributes = it.attributes.entries.joinToString(" ") { (name, value) -> "$name=$value" }
                val time = Instant.ofEpochMilli(it.wallMs).toString()
                listOf("${it.logicalTime}", time, it.source, it.level.name, "${it.number}", it.name, attributes)
            }
        echo(textTable(listOf("clock", "time", "source", "level", "number", "event", "attributes"), rows))
    }

    private fun toEvents(reply: Reply): EventList? {
        val missing =
            when (reply) {
                is Reply.Answered -> return reply.body.decode(EventList.serializer())
                is Reply.Refused -> "${reply.daemon}: ${reply.error.code}: ${reply.error.message}"
                is Reply.Unanswered -> reply.attempts.joinToString { "${it.daemon}: ${it.reason}" }
                is Reply.Invalid -> "${reply.daemon}: ${reply.reason}"
            }
        echo("Events are missing from $missing", err = true)
        return null
    }
}
