package org.orioleferry.daemon.page

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.encodeToString
import org.orioleferry.core.Clock
import org.orioleferry.core.SystemClock
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.settings.DaemonSettings
import org.orioleferry.core.settings.InstanceSettings
import org.orioleferry.core.settings.ListenSettings
import org.orioleferry.core.settings.NoteFileResult
import org.orioleferry.core.settings.PlatformSettings
import org.orioleferry.core.settings.loadReleaseNote
import org.orioleferry.daemon.Daemon
import org.orioleferry.daemon.http.apiJson
import org.orioleferry.platform.FaultBody
import org.orioleferry.platform.ListedInstance
import org.orioleferry.standins.WorkerFleet
import org.orioleferry.standins.http.PlatformStandInServer
import org.orioleferry.standins.http.WorkerStandInServer
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicLong

/** System clock that a test can move forward, so that a job is late or a deadline has passed without waiting. */
internal class SteppedClock : Clock {
    private val stepMs = AtomicLong()
    private val aheadMs = AtomicLong()

    @Volatile
    private var tickMs = 0L

    override fun monotonicMs(): Long = SystemClock.monotonicMs() + aheadMs.addAndGet(tickMs)

    /** Moves the monotonic reading forward by [ms] each time it is read. */
    fun advancePerReading(ms: Long) {
        tickMs = ms
    }

    override fun wallMs(): Long = SystemClock.wallMs() + stepMs.get()

    fun step(ms: Long) {
        stepMs.addAndGet(ms)
    }
}

/** The stand-ins and one daemon on free loopback ports, with the note of `examples/kalamata-note.yaml` in force. */
internal class ApiPageDeployment private constructor(
    private val scope: CoroutineScope,
    private val settings: (DaemonSettings) -> DaemonSettings,
) {
    val clock = SteppedClock()
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    val platform = PlatformStandInServer()
    private lateinit var workers: WorkerStandInServer
    private lateinit var daemon: Daemon
    private lateinit var serving: Job
    private lateinit var baseUrl: String

    suspend fun send(
        method: String,
        path: String,
        body: String = "",
    ): HttpResponse<String> {
        val request =
            HttpRequest
                .newBuilder(URI(baseUrl + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
        if (body.isNotEmpty()) request.header("Content-Type", "application/json")
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString()).await()
    }

    /** Sends a request in the background and ignores its answer. */
    fun sendInBackground(
        path: String,
        body: String,
    ) {
        scope.launch { runCatching { send("POST", path, body) } }
    }

    suspend fun setFaultOfWorkers(fault: String) {
        workers.workers.forEach { workers.setFault(WorkerId(it.id), FaultBody(fault)) }
    }

    /** Starts a graceful shutdown of the daemon. */
    fun requestStop() = daemon.requestStop()

    suspend fun removeWorkers() = workers.workers.forEach { platform.instances.remove(it.id) }

    private suspend fun start() {
        platform.start()
        workers = WorkerStandInServer(WorkerFleet(dataCentres, WORKERS), platform.baseUrl)
        workers.start()
        val base =
            DaemonSettings(
                InstanceSettings(InstanceId("entry-1"), dataCentres.first()),
                ListenSettings("127.0.0.1", 0, 0),
                PlatformSettings(platform.baseUrl),
                dataCentres,
            )
        daemon = Daemon(settings(base), clock)
        val readyLine = CompletableDeferred<String>()
        serving = scope.launch(Dispatchers.Default) { daemon.run { readyLine.complete(it) } }
        val (httpPort, peerPort) = readyLine.await().removePrefix("listening on ").split(' ')
        baseUrl = "http://127.0.0.1:$httpPort"
        platform.instances.put(
            ListedInstance(
                id = "entry-1",
                kind = ListedInstance.KIND_ENTRY,
                dataCentre = dataCentres.first().value,
                address = baseUrl,
                peerAddress = "127.0.0.1:$peerPort",
            ),
        )
        awaitUntil("ready") { send("GET", "/ready").statusCode() == OK }
        commitFirstNote()
    }

    /** Commits the first note, which is refused until the daemon knows the capacity of all workers. */
    private suspend fun commitFirstNote() {
        val note = (loadReleaseNote(Path.of("..", "examples", "kalamata-note.yaml")) as NoteFileResult.Loaded).note
        awaitUntil("capacity") {
            val seen = send("GET", "/v1/workers").body()
            seen.split("\"accelerators\":8,").size == WORKERS + 1
        }
        awaitUntil("first note") { send("POST", "/v1/notes", apiJson.encodeToString(note)).statusCode() == OK }
        awaitUntil("configuration") { "\"shed-credit\"" in send("GET", "/v1/configuration").body() }
        awaitUntil("ownership") { dataCentres.all { "\"$it\":" in send("GET", "/v1/instances").body() } }
    }

    private suspend fun stop() {
        serving.cancelAndJoin()
        workers.stop()
        platform.stop()
    }

    companion object {
        private val dataCentres = listOf("kalamata-a", "pylos-b", "koroni-c", "messini-d").map { DataCentre(it) }
        private const val WORKERS = 32
        private const val OK = 200

        /** Starts a deployment, runs [block] with it and stops it. */
        suspend fun use(
            scope: CoroutineScope,
            settings: (DaemonSettings) -> DaemonSettings = { it },
            block: suspend ApiPageDeployment.() -> Unit,
        ) {
            val deployment = ApiPageDeployment(scope, settings)
            deployment.start()
            try {
                deployment.block()
            } finally {
                deployment.stop()
            }
        }
    }
}

private const val LIMIT_MS = 60_000L
private const val POLL_MS = 20L

/** Waits until [condition] holds, at most [LIMIT_MS], far longer than a correct run takes. */
internal suspend fun awaitUntil(
    what: String,
    condition: suspend () -> Boolean,
) {
    try {
        withTimeout(LIMIT_MS) { while (!condition()) delay(POLL_MS) }
    } catch (timeout: TimeoutCancellationException) {
        throw AssertionError("timed out waiting for: $what", timeout)
    }
}
