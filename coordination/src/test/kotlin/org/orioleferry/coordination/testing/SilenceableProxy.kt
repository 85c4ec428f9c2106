package org.orioleferry.coordination.testing

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/** Forwards TCP connections to a port of the loopback interface and can make the open ones silent. */
internal class SilenceableProxy(
    private val targetPort: Int,
) : AutoCloseable {
    private class ProxiedConnection(
        val sockets: List<Socket>,
        val isSilent: AtomicBoolean = AtomicBoolean(),
    )

    private val loopback = InetAddress.getLoopbackAddress()
    private val server = ServerSocket(0, 16, loopback)
    private val connections = CopyOnWriteArrayList<ProxiedConnection>()
    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true) { ignoringClosed { while (true) forward(server.accept()) } }
    }

    /** Keeps the open connections open without delivering anything more; new connections work. */
    fun silence() = connections.forEach { it.isSilent.set(true) }

    override fun close() {
        server.close()
        connections.flatMap { it.sockets }.forEach { it.close() }
    }

    private fun forward(accepted: Socket) {
        val target = Socket(loopback, targetPort)
        val connection = ProxiedConnection(listOf(accepted, target))
        connections += connection
        copy(accepted, target, connection)
        copy(target, accepted, connection)
    }

    private fun copy(
        from: Socket,
        to: Socket,
        connection: ProxiedConnection,
    ) {
        thread(isDaemon = true) {
            ignoringClosed {
                val buffer = ByteArray(4_096)
                while (true) {
                    val count = from.getInputStream().read(buffer)
                    if (count < 0) break
                    if (!connection.isSilent.get()) to.getOutputStream().write(buffer, 0, count)
                }
                if (!connection.isSilent.get()) to.close()
            }
        }
    }

    private fun ignoringClosed(block: () -> Unit) {
        try {
            block()
        } catch (_: IOException) {
            // Closing the proxy closes the sockets that its threads read and write.
        }
    }
}
