package org.orioleferry.standins.http

import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer

/** HTTP server on the loopback interface. */
internal class LoopbackServer(
    requestedPort: Int,
    module: Application.() -> Unit,
) {
    private val server =
        embeddedServer(
            CIO,
            configure = {
                reuseAddress = true
                connector {
                    host = HOST
                    port = requestedPort
                }
            },
            module = module,
        )

    /** Starts the server and returns the port that it listens on. */
    suspend fun start(): Int {
        server.startSuspend(wait = false)
        return server.engine
            .resolvedConnectors()
            .first()
            .port
    }

    suspend fun stop() {
        server.stopSuspend(GRACE_MS, STOP_TIMEOUT_MS)
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val GRACE_MS = 100L

        // Calls that a fault withholds never end, so the server waits for calls in progress only this long.
        const val STOP_TIMEOUT_MS = 500L
    }
}
