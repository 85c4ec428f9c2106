package org.orioleferry.standins.http

import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.orioleferry.core.Clock
import org.orioleferry.core.SystemClock
import org.orioleferry.core.model.WorkerId
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.ExecutionsAnswer
import org.orioleferry.platform.FaultBody
import org.orioleferry.platform.Fence
import org.orioleferry.platform.FenceBody
import org.orioleferry.platform.LeaseResult
import org.orioleferry.platform.RenewBody
import org.orioleferry.platform.ReserveBody
import org.orioleferry.platform.StartBody
import org.orioleferry.platform.ThrottleBody
import org.orioleferry.platform.WorkerRequest
import org.orioleferry.platform.WorkersAnswer
import org.orioleferry.platform.http.HttpInstanceRegistry
import org.orioleferry.platform.http.HttpTransport
import org.orioleferry.standins.FaultName
import org.orioleferry.standins.SimulatedWorker
import org.orioleferry.standins.WorkerFleet

/**
 * Serves many simulated workers over HTTP in one process, with fault switches for each.
 *
 * @property platformUrl base URL of the platform whose list the workers are registered in, or null for none.
 * @property requestedPort port to listen on, or 0 for a free one.
 */
public class WorkerStandInServer(
    fleet: WorkerFleet,
    private val platformUrl: String? = null,
    private val requestedPort: Int = 0,
    seed: Long = 0,
    clock: Clock = SystemClock,
) {
    private val served =
        fleet.toSpecifications().mapIndexed { index, specification -> ServedWorker(specification, clock, seed + index) }
    private val byId = served.associateBy { it.worker.id }
    private val transport = HttpTransport()
    private val registry = platformUrl?.let { HttpInstanceRegistry(it, REGISTRY_DEADLINE_MS, transport) }
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val server = LoopbackServer(requestedPort) { routing { routes() } }

    /** The workers, for direct checks in tests. */
    public val workers: List<SimulatedWorker> get() = served.map { it.worker }

    /** Port that the server listens on, after [start]. */
    public var port: Int = 0
        private set

    /** Base URL of the process, after [start]. */
    public val baseUrl: String get() = "http://127.0.0.1:$port"

    /** Base URL of the API of one worker, after [start]. */
    public fun baseUrlOf(worker: WorkerId): String = "$baseUrl/workers/$worker"

    /** Starts the server and registers the workers; what the platform does not accept is retried in the background. */
    public suspend fun start() {
        port = server.start()
        register(served)
    }

    /** Removes the workers from the list and stops the server, which aborts calls in progress after a short grace. */
    public suspend fun stop() {
        scope.cancel()
        // After a failure the platform is taken as unreachable: the other removals are skipped and the list keeps them.
        registry?.let { list -> served.all { list.remove(it.worker.id) is CommitResult.Committed } }
        server.stop()
        transport.close()
    }

    /** Switches a fault of one worker on or off, as `POST /workers/{workerId}/faults` does. */
    public suspend fun setFault(
        worker: WorkerId,
        body: FaultBody,
    ) {
        val target = byId.getValue(worker.value)
        target.setFault(body)
        val changesList = body.fault == FaultName.LEAVE || body.fault == FaultName.NONE
        if (changesList) register(listOf(target))
    }

    private suspend fun register(targets: List<ServedWorker>) {
        val list = registry ?: return
        val pending = targets.dropWhile { list.put(it.toListed(baseUrl)) is CommitResult.Committed }
        if (pending.isEmpty()) return
        scope.launch {
            delay(REGISTRY_RETRY_MS)
            register(pending)
        }
    }

    private fun Route.routes() {
        get("/workers") { call.send(answerOf(WorkersAnswer(served.map { it.worker.status() }))) }
        get("/executions") { call.send(answerOf(ExecutionsAnswer(served.flatMap { it.worker.executions() }))) }
        route("/workers/{worker}") {
            get { handleWorkerCall("status") { answerOf(it.worker.status()) } }
            get("/executions") { handleWorkerCall("executions") { answerOf(ExecutionsAnswer(it.worker.executions())) } }
            post("/faults") { call.send(faultAnswer(call)) }
            requestRoutes()
            leaseRoutes()
        }
    }

    private fun Route.requestRoutes() {
        post("/requests") { handleWorkerCall("requests") { call.withBody<WorkerRequest> { body -> it.run(body) } } }
        post("/requests/{request}/seal") { handleWorkerCall("seal") { it.seal(call.parameter("request")) } }
    }

    private fun Route.leaseRoutes() {
        post("/claim") {
            handleWorkerCall("claim") { call.withBody<FenceBody> { body -> it.claim(Fence(body.domain, body.epoch)) } }
        }
        post("/leases") { handleWorkerCall("lease") { call.withBody<ReserveBody> { body -> it.reserve(body) } } }
        leaseCommand<StartBody>("start") { id, body -> start(Fence(body.domain, body.epoch), id, body.workMs) }
        leaseCommand<RenewBody>("renew") { id, body -> renew(Fence(body.domain, body.epoch), id, body.ttlMs) }
        leaseCommand<FenceBody>("checkpoint") { id, body -> checkpoint(Fence(body.domain, body.epoch), id) }
        leaseCommand<ThrottleBody>("throttle") { id, body -> throttle(Fence(body.domain, body.epoch), id, body.share) }
        leaseCommand<FenceBody>("stop") { id, body -> stop(Fence(body.domain, body.epoch), id) }
    }

    private inline fun <reified T> Route.leaseCommand(
        verb: String,
        crossinline apply: SimulatedWorker.(leaseId: String, body: T) -> LeaseResult,
    ) {
        post("/leases/{lease}/$verb") {
            handleWorkerCall("lease") { target ->
                val leaseId = call.parameter("lease")
                call.withBody<T> { body -> target.leaseAnswer(leaseId, target.worker.apply(leaseId, body)) }
            }
        }
    }

    private suspend fun RoutingContext.handleWorkerCall(
        kind: String,
        effect: suspend (ServedWorker) -> HttpAnswer,
    ) {
        val target = byId[call.parameter("worker")]
        if (target == null) call.send(notFound("the worker")) else target.faults.handle(call, kind) { effect(target) }
    }

    private suspend fun faultAnswer(call: ApplicationCall): HttpAnswer {
        val id = call.parameter("worker")
        return call.withBody<FaultBody> { body ->
            when {
                id !in byId -> notFound("the worker")
                body.fault !in FaultName.ofWorker ->
                    errorOf(STATUS_BAD_REQUEST, "bad-request", "unknown fault ${body.fault}")
                else -> {
                    setFault(WorkerId(id), body)
                    answerOf(body)
                }
            }
        }
    }

    private companion object {
        const val REGISTRY_DEADLINE_MS = 800L
        const val REGISTRY_RETRY_MS = 1_000L
    }
}
