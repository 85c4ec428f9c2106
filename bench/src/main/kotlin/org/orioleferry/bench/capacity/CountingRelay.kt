package org.orioleferry.bench.capacity

import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Forwards TCP connections to a loopback port and counts payload bytes in both directions, without TCP headers. */
internal class CountingRelay(
    private val targetPort: Int,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val countedBytes = AtomicLong()

    val port: Int get() = server.localPort
    val bytes: Long get() = countedBytes.get()

    init {
        thread(isDaemon = true, name = "counting-relay") {
            runCatching { while (true) relay(server.accept()) }
        }
    }

    override fun close() = server.close()

    private fun relay(caller: Socket) {
        val target = Socket(InetAddress.getLoopbackAddress(), targetPort)
        thread(isDaemon = true) { copy(caller.getInputStream(), target.getOutputStream()) { target.shutdownOutput() } }
        thread(isDaemon = true) { copy(target.getInputStream(), caller.getOutputStream()) { caller.close() } }
    }

    private fun copy(
        from: InputStream,
        to: OutputStream,
        atEnd: () -> Unit,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        runCatching {
            while (true) {
                val size = from.read(buffer)
                if (size < 0) break
                countedBytes.addAndGet(size.toLong())
                to.write(buffer, 0, size)
            }
        }
        runCatching(atEnd)
    }

    private companion object {
        const val BACKLOG = 64
        const val BUFFER_BYTES = 16 * 1_024
    }
}
