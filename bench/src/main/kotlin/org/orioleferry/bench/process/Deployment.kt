package org.orioleferry.bench.process

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.orioleferry.platform.Execution
import org.orioleferry.platform.ListedInstance
import java.nio.file.Files
import java.nio.file.Path

/** JSON format that matches the one of the project's programs. */
internal val benchJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
        explicitNulls = false
    }

/** Size of a deployment on this machine, and the seed of its stand-ins. */
internal data class DeploymentSize(
    val dataCentres: List<String>,
    val workers: Int = 32,
    val daemons: Int = 6,
    val seed: Long = 1,
)

/** One running daemon. */
internal class DaemonProcess(
    val id: String,
    val dataCentre: String,
    val process: LocalProcess,
    val httpPort: Int,
    val peerPort: Int,
) {
    val baseUrl: String get() = "http://127.0.0.1:$httpPort"
}

@Serializable
internal data class Executions(
    val executions: List<Execution>,
)

@Serializable
internal data class ListedInstances(
    val instances: List<ListedInstance>,
)

@Serializable
internal data class FaultSwitch(
    val fault: String,
    val delayMs: Long = 0,
    val share: Double = 1.0,
    val durationMs: Long = 0,
)

/** Deployment on loopback: processes for the platform stand-in, the worker stand-ins and each daemon. */
internal class Deployment(
    private val size: DeploymentSize,
    val folder: Path,
) : AutoCloseable {
    private val client =
        HttpClient(CIO) {
            install(HttpTimeout) { requestTimeoutMillis = CALL_TIMEOUT_MS }
        }
    private lateinit var platform: LocalProcess
    private lateinit var workerProcess: LocalProcess
    private val running = linkedMapOf<String, DaemonProcess>()
    private val launched = mutableListOf<LocalProcess>()

    lateinit var platformUrl: String
        private set

    lateinit var workersUrl: String
        private set

    val daemons: List<DaemonProcess> get() = synchronized(running) { running.values.toList() }

    /** Starts all processes and waits until every daemon is ready. */
    suspend fun start() {
        platform = launch("platform", PLATFORM_MAIN, listOf("--port", "0", "--seed", "${size.seed}"))
        platformUrl = "http://127.0.0.1:${platform.awaitPorts().first()}"
        workerProcess = launch("workers", WORKERS_MAIN, workerArguments())
        workersUrl = "http://127.0.0.1:${workerProcess.awaitPorts().first()}"
        val started = (1..size.daemons).map { launchDaemon("entry-$it") }
        started.forEach { registerWhenListening(it) }
        daemons.forEach { awaitReady(it) }
    }

    /** Starts a daemon with the id of one that has ended, as the platform does when it replaces an instance. */
    suspend fun replace(id: String) {
        registerWhenListening(launchDaemon(id))
    }

    /** Kills a daemon, which stays in the platform's list until [unregister]. */
    fun kill(id: String): DaemonProcess = remove(id).also { it.process.kill() }

    /** Stops a daemon gracefully; returns its exit code, or null when it has not ended in time. */
    suspend fun terminate(id: String): Int? {
        val daemon = daemons.first { it.id == id }
        register(daemon, ListedInstance.STATE_LEAVING)
        val code = daemon.process.terminate()
        remove(id)
        unregister(id)
        return code
    }

    /** Removes an instance from the platform's list. */
    suspend fun unregister(id: String) {
        client.delete("$platformUrl/instances/$id")
    }

    /** Sets the fault of [worker], or that of the store when [worker] is null. */
    suspend fun setFault(
        fault: FaultSwitch,
        worker: String? = null,
    ) {
        val url = if (worker == null) "$platformUrl/faults" else "$workersUrl/workers/$worker/faults"
        val answer =
            client.post(url) {
                contentType(ContentType.Application.Json)
                setBody(benchJson.encodeToString(fault))
            }
        check(answer.status.isSuccess()) { "fault ${fault.fault} was refused: ${answer.bodyAsText()}" }
    }

    /** Ids of all workers in the platform's list. */
    suspend fun workers(): List<String> {
        val text = client.get("$platformUrl/instances").bodyAsText()
        val listed = benchJson.decodeFromString<ListedInstances>(text).instances
        return listed.filter { it.kind == ListedInstance.KIND_WORKER }.map { it.id }
    }

    /** All executions that the workers have recorded. */
    suspend fun executions(): List<Execution> {
        val text = client.get("$workersUrl/executions").bodyAsText()
        return benchJson.decodeFromString<Executions>(text).executions
    }

    override fun close() {
        client.close()
        launched.filter { it.isAlive }.forEach { it.kill() }
    }

    private fun launch(
        name: String,
        mainClass: String,
        arguments: List<String>,
    ): LocalProcess = LocalProcess.start(name, mainClass, arguments, folder).also(launched::add)

    private fun workerArguments(): List<String> =
        listOf("--port", "0", "--platform", platformUrl, "--workers", "${size.workers}", "--racks-of", "6") +
            listOf("--data-centres", size.dataCentres.joinToString(","), "--seed", "${size.seed}")

    private fun launchDaemon(id: String): Pair<String, LocalProcess> {
        val file = folder.resolve("$id.yaml")
        Files.writeString(file, settingsOf(id, dataCentreOf(id), size.dataCentres, platformUrl))
        return id to launch("$id-${launched.size}", DAEMON_MAIN, listOf("--config", file.toString()))
    }

    private suspend fun registerWhenListening(started: Pair<String, LocalProcess>) {
        val (id, process) = started
        val (httpPort, peerPort) = process.awaitPorts()
        val daemon = DaemonProcess(id, dataCentreOf(id), process, httpPort, peerPort)
        register(daemon, ListedInstance.STATE_LIVE)
        synchronized(running) { running[id] = daemon }
    }

    private suspend fun register(
        daemon: DaemonProcess,
        state: String,
    ) {
        val entry =
            ListedInstance(
                id = daemon.id,
                kind = ListedInstance.KIND_ENTRY,
                dataCentre = daemon.dataCentre,
                address = daemon.baseUrl,
                peerAddress = "127.0.0.1:${daemon.peerPort}",
                state = state,
            )
        client.put("$platformUrl/instances/${daemon.id}") {
            contentType(ContentType.Application.Json)
            setBody(benchJson.encodeToString(entry))
        }
    }

    private suspend fun awaitReady(daemon: DaemonProcess) {
        repeat(READY_TRIES) {
            val answer = runCatching { client.get("${daemon.baseUrl}/ready").status.isSuccess() }
            if (answer.getOrDefault(false)) return
            delay(READY_POLL_MS)
        }
        error("${daemon.id} is not ready; see the logs in $folder")
    }

    private fun remove(id: String): DaemonProcess = synchronized(running) { checkNotNull(running.remove(id)) }

    private fun dataCentreOf(id: String): String {
        val number = id.substringAfterLast('-').toInt()
        return size.dataCentres[(number - 1) % size.dataCentres.size]
    }

    private companion object {
        const val PLATFORM_MAIN = "org.orioleferry.standins.PlatformStandInKt"
        const val WORKERS_MAIN = "org.orioleferry.standins.WorkerStandInKt"
        const val DAEMON_MAIN = "org.orioleferry.daemon.MainKt"
        const val CALL_TIMEOUT_MS = 5_000L
        const val READY_TRIES = 200
        const val READY_POLL_MS = 50L
    }
}

private fun settingsOf(
    id: String,
    dataCentre: String,
    dataCentres: List<String>,
    platformUrl: String,
): String =
    """
    instance: {id: $id, dataCentre: $dataCentre}
    listen: {host: 127.0.0.1, httpPort: 0, peerPort: 0}
    platform: {baseUrl: "$platformUrl", deadlineMs: 800}
    dataCentres: [${dataCentres.joinToString()}]
    """.trimIndent() + "\n"
