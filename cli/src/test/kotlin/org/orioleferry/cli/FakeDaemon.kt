package org.orioleferry.cli

import com.github.ajalt.mordant.terminal.Terminal
import com.github.ajalt.mordant.terminal.TerminalRecorder
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.call
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveText
import io.ktor.server.request.uri
import io.ktor.server.response.respondText
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking
import java.io.Closeable
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread

internal data class ReceivedCall(
    val line: String,
    val body: String,
)

/** HTTP server that answers every call with the status and body from [answer] and records the calls. */
internal class FakeDaemon(
    private val answer: (ReceivedCall) -> Pair<Int, String>,
) : Closeable {
    val calls = ConcurrentLinkedQueue<ReceivedCall>()
    private val server =
        embeddedServer(CIO, port = 0, host = "127.0.0.1") {
            routing {
                route("{...}") {
                    handle {
                        val received =
                            ReceivedCall("${call.request.httpMethod.value} ${call.request.uri}", call.receiveText())
                        calls += received
                        val (status, body) = answer(received)
                        call.respondText(body, ContentType.Application.Json, HttpStatusCode.fromValue(status))
                    }
                }
            }
        }.start()
    val address =
        "127.0.0.1:" +
            runBlocking {
                server.engine
                    .resolvedConnectors()
                    .first()
                    .port
            }

    override fun close() = server.stop(0, 0)
}

/** Server that accepts one connection after the other, reads the first byte and closes without an answer. */
internal class ClosingDaemon : Closeable {
    private val socket = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
    val address = "127.0.0.1:${socket.localPort}"

    init {
        thread(isDaemon = true) {
            runCatching { while (true) socket.accept().use { it.getInputStream().read() } }
        }
    }

    override fun close() = socket.close()
}

/** An address on which nothing listens. */
internal fun unusedAddress(): String =
    ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use {
        "127.0.0.1:${it.localPort}"
    }

internal data class ToolRun(
    val exitCode: Int,
    val stdout: String,
    val stderr: String,
)

internal fun tool(vararg args: String): ToolRun {
    val recorder = TerminalRecorder(width = 400)
    val exitCode = runTool(args.toList(), Terminal(terminalInterface = recorder))
    return ToolRun(exitCode, recorder.stdout(), recorder.stderr())
}
