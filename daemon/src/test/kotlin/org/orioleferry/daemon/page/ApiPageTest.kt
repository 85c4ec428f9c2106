package org.orioleferry.daemon.page

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import org.orioleferry.core.settings.DaemonSettings
import org.orioleferry.platform.FaultBody
import org.orioleferry.standins.FaultName
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty

/** Replays `docs/api.md` against a daemon. Paths and names are those of the page. */
class ApiPageTest {
    /** State that an example needs: settings of the daemon, and actions before the request is sent. */
    private class State(
        val settings: (DaemonSettings) -> DaemonSettings = { it },
        val prepare: suspend ApiPageDeployment.() -> Unit = {},
    )

    private val examples = readApiPage()

    // Examples that run on a deployment of their own, since their state would disturb the others.
    private val isolatedStates =
        mapOf(
            "GET /v1/late" to
                State {
                    submitJob()
                    clock.step(LATE_STEP_MS)
                },
            "QUEUE_FULL" to State({ it.copy(requests = it.requests.copy(maxQueued = 0)) }),
            "DEADLINE" to State { clock.advancePerReading(DEADLINE_TICK_MS) },
            "DRAINING" to State({ it.copy(drain = it.drain.copy(refuseAfterMs = 0)) }) { drain() },
            "STORE_UNAVAILABLE" to State { platform.setFault(FaultBody(FaultName.DOWN)) },
            "NO_UPSTREAM" to State { loseWorkers() },
            "UPSTREAM_FAILED" to State { setFaultOfWorkers(FaultName.FAIL_ALL) },
            "OUTCOME_UNKNOWN" to State { setFaultOfWorkers(FaultName.LOSE_ANSWERS) },
        )

    // Conditions to wait for on the common deployment before an example is sent.
    private val preparations: Map<String, suspend ApiPageDeployment.() -> Unit> =
        mapOf(
            "GET /v1/jobs" to { awaitRunning() },
            "GET /v1/notes" to
                { awaitUntil("picker-report") { "picker-report" in send("GET", CONFIGURATION_PATH).body() } },
        )

    // Expansions of bodies that the page shortens.
    private val bodyExpansions: Map<String, (String) -> String> =
        mapOf("TOO_LARGE" to { it.replace("x...", "x".repeat(LARGE_CHARS)) })

    // INTERNAL is the answer to an unexpected exception; no setting or fault of a stand-in causes one.
    private val notReplayed = setOf("INTERNAL")

    // Guards against an example on the page that the daemon answers differently.
    @Test
    fun `the examples should be answered as the page says`() {
        val common = examples.filter { it.heading !in isolatedStates && it.heading !in notReplayed }
        val found = mutableListOf<String>()
        withDeployment(State()) {
            for (example in common) {
                preparations[example.heading]?.invoke(this)
                found += replay(example)
            }
        }
        expectThat(found).isEmpty()
    }

    // Guards against an error answer on the page that differs from the daemon's in the state that causes it.
    @Test
    fun `the examples that need a state should be answered as the page says`() {
        val found = mutableListOf<String>()
        for ((heading, state) in isolatedStates) {
            withDeployment(state) {
                state.prepare(this)
                found += replay(examples.single { it.heading == heading })
            }
        }
        expectThat(found).isEmpty()
    }

    // Guards against a comparison that finds no difference because it compares nothing.
    @Test
    fun `a different value, type or field should be found`() {
        val page = Json.parseToJsonElement("""{"error": {"notRun": true, "details": {}}}""")
        listOf(
            """{"error": {"notRun": false, "details": {}}}""",
            """{"error": {"notRun": "true", "details": {}}}""",
            """{"error": {"notRun": true, "details": {"scope": "key"}}}""",
            """{"error": {"notRun": true}}""",
        ).forEach { expectThat(differences(page, Json.parseToJsonElement(it), "")).isNotEmpty() }
        expectThat(examples.map { it.heading }.toSet().size).isEqualTo(examples.size)
        expectThat(
            isolatedStates.keys + preparations.keys + bodyExpansions.keys + notReplayed -
                examples.map { it.heading }.toSet(),
        ).isEmpty()
    }

    private fun withDeployment(
        state: State,
        block: suspend ApiPageDeployment.() -> Unit,
    ): Unit =
        runBlocking(Dispatchers.Default) {
            coroutineScope { ApiPageDeployment.use(this, state.settings, block) }
        }

    private suspend fun ApiPageDeployment.replay(example: Example): List<String> {
        val body = bodyExpansions[example.heading]?.invoke(example.body) ?: example.body
        val answer = send(example.method, example.path, body)
        val type = answer.headers().firstValue("Content-Type").orElse("")
        val found = mutableListOf<String>()
        if (answer.statusCode() != example.status) found += "status ${answer.statusCode()}, the page ${example.status}"
        if (type != example.contentType) found += "content type $type, the page ${example.contentType}"
        val path = if (example.heading == "GET /v1/configuration") "configuration" else ""
        found +=
            if (type == "application/json") {
                differences(Json.parseToJsonElement(example.answer), Json.parseToJsonElement(answer.body()), path)
            } else {
                textDifferences(example, answer.body())
            }
        return found.map { "${example.heading}: $it" }
    }

    /** Compares texts. The page shortens the metrics: each of its lines, without the value, has to be in the answer. */
    private fun textDifferences(
        example: Example,
        text: String,
    ): List<String> {
        if (example.heading != "GET /metrics") return listOf(text).filter { it.trimEnd('\n') != example.answer }
        return example.answer.lines().map { if (it.startsWith("#")) it else it.substringBefore('}') }.filter { wanted ->
            text.lines().none { it.startsWith(wanted) }
        }
    }

    private suspend fun ApiPageDeployment.submitJob() {
        val example = examples.single { it.heading == "POST /v1/jobs" }
        send(example.method, example.path, example.body)
        awaitRunning()
    }

    private suspend fun ApiPageDeployment.awaitRunning() {
        awaitUntil("the job runs") { "\"state\":\"running\"" in send("GET", "/v1/jobs").body() }
    }

    /** Starts a drain while a request is in progress, which delays the shutdown, so that the server still answers. */
    private suspend fun ApiPageDeployment.drain() {
        sendInBackground("/v1/requests", requestBody("wage-run", DRAIN_WORK_MS))
        awaitUntil("the request is dispatched") { "REQUEST_DISPATCHED" in send("GET", "/v1/events").body() }
        requestStop()
        awaitUntil("refusals") { "DRAINING" in send("POST", "/v1/requests", requestBody("weighing-slip", 1)).body() }
    }

    private suspend fun ApiPageDeployment.loseWorkers() {
        removeWorkers()
        awaitUntil("no worker") {
            "no worker is live" in send("POST", "/v1/requests", requestBody("weighing-slip", 1)).body()
        }
    }

    private fun requestBody(
        jobClass: String,
        workMs: Long,
    ) = """{"workspace": "sheds", "caller": "other", "jobClass": "$jobClass", "payload": "", "workMs": $workMs}"""

    private companion object {
        const val CONFIGURATION_PATH = "/v1/configuration"
        const val LATE_STEP_MS = 2 * 3_600_000L
        const val DEADLINE_TICK_MS = 2L
        const val LARGE_CHARS = 70_000
        const val DRAIN_WORK_MS = 8_000L
    }
}
