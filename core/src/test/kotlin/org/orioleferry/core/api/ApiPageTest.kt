package org.orioleferry.core.api

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import org.orioleferry.core.FailureCode
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.ReleaseNote
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.startsWith
import java.nio.file.Files
import java.nio.file.Path

class ApiPageTest {
    private val sections =
        Files
            .readString(Path.of("..", "docs", "api.md"))
            .split("\n### ")
            .drop(1)
            .associate { it.lineSequence().first() to httpBlocksOf(it) }

    // Rejects unknown fields, unlike the wire format, because the page has to agree with the types.
    private val strict = Json

    private val bodies: Map<String, KSerializer<*>> =
        mapOf(
            "POST /v1/requests" to RequestBody.serializer(),
            "POST /v1/jobs" to JobSubmission.serializer(),
            "POST /v1/notes" to ReleaseNote.serializer(),
        )

    private val answers: Map<String, KSerializer<*>> =
        mapOf(
            "POST /v1/requests" to RequestAnswer.serializer(),
            "GET /v1/requests/{workspace}/{key}" to RequestStatus.serializer(),
            "POST /v1/jobs" to JobAccepted.serializer(),
            "GET /v1/jobs" to JobList.serializer(),
            "GET /v1/jobs/{id}" to JobRecord.serializer(),
            "DELETE /v1/jobs/{id}" to JobRecord.serializer(),
            "POST /v1/notes" to NoteAccepted.serializer(),
            "GET /v1/notes" to NoteHistory.serializer(),
            "GET /v1/notes/status" to NoteStatus.serializer(),
            "GET /v1/configuration" to Configuration.serializer(),
            "GET /v1/policies" to PolicyList.serializer(),
            "GET /v1/workers" to WorkerList.serializer(),
            "GET /v1/workspaces" to WorkspaceList.serializer(),
            "GET /v1/instances" to InstanceList.serializer(),
            "GET /v1/late" to LateList.serializer(),
            "GET /v1/events" to EventList.serializer(),
        )

    private fun httpBlocksOf(section: String): List<String> =
        Regex("```http\n(.*?)\n```", RegexOption.DOT_MATCHES_ALL).findAll(section).map { it.groupValues[1] }.toList()

    private fun bodyOf(block: String): String = block.substringAfter("\n\n", "")

    // Guards against a documented request that the daemon refuses, or an answer with fields that do not exist.
    @Test
    fun `every endpoint should have a request and an answer that agree with the wire types`() {
        answers.forEach { (endpoint, serializer) ->
            val (request, answer) = sections.getValue(endpoint)
            expectThat(request).startsWith(endpoint.substringBefore('{'))
            expectThat(answer).startsWith("HTTP/1.1 20")
            bodies[endpoint]?.let { strict.decodeFromString(it, bodyOf(request)) }
            strict.decodeFromString(serializer, bodyOf(answer))
        }
        val endpointsWithoutType = setOf("GET /health", "GET /ready", "GET /metrics")
        expectThat(sections.keys).isEqualTo(answers.keys + endpointsWithoutType + FailureCode.entries.map { it.name })
    }

    // Guards against an error code that callers cannot look up, or that is documented with another status.
    @Test
    fun `every error code should have an example with its status`() {
        FailureCode.entries.forEach { code ->
            val (request, answer) = sections.getValue(code.name)
            expectThat(answer).startsWith("HTTP/1.1 ${code.httpStatus} ")
            expectThat(strict.decodeFromString(ErrorBody.serializer(), bodyOf(answer)).error.code).isEqualTo(code.name)
            expectThat(strict.decodeFromString(ErrorBody.serializer(), bodyOf(answer)).error.message).isNotEqualTo("")
            bodies[request.lineSequence().first()]?.let { strict.decodeFromString(it, bodyOf(request)) }
        }
    }
}
