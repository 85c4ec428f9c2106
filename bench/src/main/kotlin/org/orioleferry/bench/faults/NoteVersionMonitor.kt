package org.orioleferry.bench.faults

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.orioleferry.bench.load.DaemonClient
import org.orioleferry.bench.process.DaemonProcess
import org.orioleferry.bench.process.benchJson
import org.orioleferry.core.model.Configuration

/** Polls the configuration version in force on every daemon process and records each decrease. */
internal class NoteVersionMonitor(
    private val client: DaemonClient,
    private val daemons: () -> List<DaemonProcess>,
) {
    private val highestByProcess = mutableMapOf<Long, Long>()
    private val decreases = mutableListOf<String>()

    /** Descriptions of all decreases of a version. */
    val reverts: List<String> get() = decreases.toList()

    /** Highest version observed on any daemon. */
    val newest: Long get() = highestByProcess.values.maxOrNull() ?: 0

    /** Polls until cancelled. */
    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            daemons().forEach { observe(it) }
            delay(POLL_PERIOD_MS)
        }
    }

    private suspend fun observe(daemon: DaemonProcess) {
        // A daemon that is not ready has not established its version yet and serves no caller.
        if (client.getText(daemon, "/ready")?.trim() != "ready") return
        val text = client.getText(daemon, "/v1/configuration") ?: return
        val version = runCatching { benchJson.decodeFromString<Configuration>(text).version }.getOrNull() ?: return
        val before = highestByProcess[daemon.process.id] ?: 0
        if (version < before) decreases += "${daemon.id} went from $before to $version"
        highestByProcess[daemon.process.id] = maxOf(before, version)
    }

    private companion object {
        const val POLL_PERIOD_MS = 200L
    }
}
