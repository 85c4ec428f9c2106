package org.orioleferry.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import org.orioleferry.coordination.peer.PeerAddress
import org.orioleferry.core.Clock
import org.orioleferry.core.event.EventType
import org.orioleferry.core.settings.DaemonSettings
import org.orioleferry.daemon.event.eventRoutes
import org.orioleferry.daemon.http.httpApi
import org.orioleferry.daemon.jobs.jobRoutes
import org.orioleferry.daemon.notes.noteRoutes
import org.orioleferry.daemon.requests.requestRoutes

private val logger = KotlinLogging.logger {}

/** Runs one instance: the HTTP API for callers and operators, and the controllers behind it. */
internal class Daemon(
    private val settings: DaemonSettings,
    clock: Clock,
) {
    private val services = DaemonServices(settings, clock)
    private val stop = CompletableDeferred<Unit>()

    // The failure of one peer link must not end the process and the requests in progress.
    private val linkFailureHandler =
        CoroutineExceptionHandler { _, cause -> logger.error(cause) { "a peer link failed" } }

    /** Starts a graceful shutdown; [run] returns when it is complete. */
    fun requestStop() {
        stop.complete(Unit)
    }

    /** Serves until [requestStop]. Prints one line with the ports through [print] when they are bound. */
    suspend fun run(print: (String) -> Unit) {
        coroutineScope {
            services.events.record(EventType.PROCESS_STARTED, mapOf("instance" to settings.instance.id.value))
            val background = CoroutineScope(coroutineContext)
            val links = CoroutineScope(coroutineContext + SupervisorJob(coroutineContext.job) + linkFailureHandler)
            val peer = services.network.start(links, PeerAddress(settings.listen.host, settings.listen.peerPort))
            services.startControllers(background)
            val server = startServer()
            val httpPort =
                server.engine
                    .resolvedConnectors()
                    .first()
                    .port
            print("listening on $httpPort ${peer.port}")
            launch { announceReadiness() }
            stop.await()
            drain(server)
            coroutineContext.cancelChildren()
        }
        services.close()
    }

    private suspend fun startServer(): EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration> {
        val listen = settings.listen
        val server =
            embeddedServer(CIO, configure = {
                connector {
                    host = listen.host
                    port = listen.httpPort
                }
                connectionIdleTimeoutSeconds = IDLE_CONNECTION_SECONDS
            }) {
                httpApi(settings.requests.maxBodyBytes.toLong()) {
                    probeRoutes(services.metrics, services::isReady)
                    requestRoutes(services.requests)
                    jobRoutes(services.jobs, services::late)
                    noteRoutes(services.notes, services::commit)
                    eventRoutes(services.events)
                    instanceRoutes(
                        settings.instance,
                        services.membership,
                        services.ownership,
                        services.notes,
                    ) { services.isDraining }
                }
            }
        return server.startSuspend(wait = false)
    }

    private suspend fun announceReadiness() {
        services.notes.isReady.collect { ready ->
            if (ready) services.events.record(EventType.PROCESS_READY, mapOf("instance" to settings.instance.id.value))
        }
    }

    /** Fails readiness first, so that the load balancer stops sending, and stops the server after the last request. */
    private suspend fun drain(server: EmbeddedServer<*, *>) {
        services.isDraining = true
        services.membership.leave()
        services.requests.drain()
        services.ownership.release()
        server.stopSuspend(SERVER_GRACE_MS, SERVER_LIMIT_MS)
    }

    private companion object {
        const val IDLE_CONNECTION_SECONDS = 120
        const val SERVER_GRACE_MS = 200L
        const val SERVER_LIMIT_MS = 2_000L
    }
}
