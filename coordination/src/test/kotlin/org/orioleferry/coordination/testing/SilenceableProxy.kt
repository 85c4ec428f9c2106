package org.orioleferry.coordination.testing

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/** Forwards TCP connections to a port of the loopback interface and can make the present ones silent. */
internal class SilenceableProxy(
    private val targetPort: Int,
) : AutoCloseable {
    private class Pair(
        val sockets: List<Socket>,
        val isSilent: AtomicBoolean = AtomicBoolean(),
    )

    private val loopback = InetAddress.getLoopbackAddress()
    private val server = ServerSocket(0, 16, loopback)
    private val pairs = CopyOnWriteArrayList<Pair>()
    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true) { ignoringClosed { while (true) forward(server.accept()) } }
    }

    /** Connections that are open now stay open and deliver nothing from now on; new ones work. */
    fun silence() = pairs.forEach { it.isSilent.set(true) }

    override fun close() {
        server.close()
        pairs.flatMap { it.sockets }.forEach { it.close() }
    }

    private fun forward(accepted: Socket) {
        val target = Socket(loopback, targetPort)
        val pair = Pair(listOf(accepted, target))
        pairs += pair
        copy(accepted, target, pair)
        copy(target, accepted, pair)
    }

    private fun copy(
        from: Socket,
        to: Socket,
        pair: Pair,
    ) {
        thread(isDaemon = true) {
            ignoringClosed {
                val buffer = ByteArray(4_096)
                while (true) {
                    val count = from.getInputStream().read(buffer)
                    if (count < 0) break
                    if (!pair.isSilent.get()) to.getOutputStream().write(buffer, 0, count)
                }
                if (!pair.isSilent.get()) to.close()
            }
        }
    }

    private fun ignoringClosed(block: () -> Unit) {
        try {
            block()
        } catch (_: IOException) {
            // A test ends by closing the sockets.
        }
    }
}
