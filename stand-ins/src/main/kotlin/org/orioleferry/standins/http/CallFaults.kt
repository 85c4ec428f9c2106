package org.orioleferry.standins.http

import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import org.orioleferry.standins.FaultName
import org.orioleferry.standins.FaultSwitches
import java.util.concurrent.ConcurrentHashMap

/** Tracks the connections that carried calls, identified by the client's port. */
internal class ConnectionTracker {
    private val established = ConcurrentHashMap.newKeySet<Int>()
    private val silent = ConcurrentHashMap.newKeySet<Int>()

    fun begin(call: ApplicationCall) {
        established += call.request.local.remotePort
    }

    /** Drops the connection when the client closes it after this call, since its port will be reused. */
    fun end(call: ApplicationCall) {
        if (call.request.header(HttpHeaders.Connection).equals("close", ignoreCase = true)) {
            established -= call.request.local.remotePort
        }
    }

    /** Makes all connections that are established now silent permanently. */
    fun silence() {
        silent += established
        established.clear()
    }

    fun isSilent(call: ApplicationCall): Boolean = call.request.local.remotePort in silent
}

/** Applies transport faults to the calls of one server or one worker. */
internal class CallFaults(
    private val switches: FaultSwitches,
) {
    private val connections = ConnectionTracker()
    private val lastAnswers = ConcurrentHashMap<String, HttpAnswer>()

    fun silenceConnections() = connections.silence()

    /** Runs [effect] and sends its answer with the faults that apply. [kind] groups the answers that may be crossed. */
    suspend fun handle(
        call: ApplicationCall,
        kind: String,
        effect: suspend () -> HttpAnswer,
    ) {
        connections.begin(call)
        beforeEffect(call)
        val answer = effect()
        afterEffect(call, kind, answer)
        connections.end(call)
    }

    private suspend fun beforeEffect(call: ApplicationCall) {
        if (connections.isSilent(call)) awaitCancellation()
        awaitFreezeEnd()
        switches.draw(FaultName.SLOW)?.let { delay(it.delayMs) }
    }

    private suspend fun afterEffect(
        call: ApplicationCall,
        kind: String,
        answer: HttpAnswer,
    ) {
        awaitFreezeEnd()
        if (connections.isSilent(call)) awaitCancellation()
        val previous = lastAnswers.put(kind, answer)
        when {
            switches.draw(FaultName.LOSE_ANSWERS) != null -> delay(LOST_ANSWER_HOLD_MS)
            switches.draw(FaultName.TRUNCATE) != null -> call.sendTruncated(answer)
            switches.draw(FaultName.CROSSED_ANSWERS) != null -> call.send(previous ?: answer)
            else -> call.send(answer)
        }
    }

    /** Waits until the process is no longer frozen. Calls that arrived in the meantime take effect then. */
    private suspend fun awaitFreezeEnd() {
        while (switches.isOn(FaultName.FREEZE)) delay(FREEZE_POLL_MS)
    }

    private companion object {
        // Longer than the deadline of any caller.
        const val LOST_ANSWER_HOLD_MS = 30_000L
        const val FREEZE_POLL_MS = 10L
    }
}
