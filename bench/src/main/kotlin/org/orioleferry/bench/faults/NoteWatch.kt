package org.orioleferry.bench.faults

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.orioleferry.bench.load.DaemonClient
import org.orioleferry.bench.process.DaemonProcess
import org.orioleferry.bench.process.benchJson
import org.orioleferry.core.model.Configuration

/** Reads the version in force on every daemon process and counts each step back. */
internal class NoteWatch(
    private val client: DaemonClient,
    private val daemons: () -> List<DaemonProcess>,
) {
    private val highest = mutableMapOf<Long, Long>()
    private val found = mutableListOf<String>()

    /** Descriptions of all steps back. */
    val reverts: List<String> get() = found.toList()

    /** Highest version seen on any daemon. */
    val newest: Long get() = highest.values.maxOrNull() ?: 0

    /** Runs until cancelled. */
    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            daemons().forEach { observe(it) }
            delay(PERIOD_MS)
        }
    }

    private suspend fun observe(daemon: DaemonProcess) {
        // A daemon that is not ready has not established its version yet and serves no caller.
        if (client.text(daemon, "/ready")?.trim() != "ready") return
        val text = client.text(daemon, "/v1/configuration") ?: return
        val version = runCatching { benchJson.decodeFromString<Configuration>(text).version }.getOrNull() ?: return
        val before = highest[daemon.process.id] ?: 0
        if (version < before) found += "${daemon.id} went from $before to $version"
        highest[daemon.process.id] = maxOf(before, version)
    }

    private companion object {
        const val PERIOD_MS = 200L
    }
}
