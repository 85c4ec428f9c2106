package org.orioleferry.standins.http

import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import org.orioleferry.standins.FaultName
import org.orioleferry.standins.FaultSwitches
import java.util.concurrent.ConcurrentHashMap

/** Connections that carried calls, told apart by the port of the client. */
internal class ConnectionTracker {
    private val established = ConcurrentHashMap.newKeySet<Int>()
    private val silent = ConcurrentHashMap.newKeySet<Int>()

    fun begin(call: ApplicationCall) {
        established += call.request.local.remotePort
    }

    /** Forgets the connection when the client closes it after this call, since its port will be used again. */
    fun end(call: ApplicationCall) {
        if (call.request.header(HttpHeaders.Connection).equals("close", ignoreCase = true)) {
            established -= call.request.local.remotePort
        }
    }

    /** Makes every connection that is established now silent for good. */
    fun silence() {
        silent += established
        established.clear()
    }

    fun isSilent(call: ApplicationCall): Boolean = call.request.local.remotePort in silent
}

/** Applies the faults of the transport to the calls of one server or one worker. */
internal class CallFaults(
    private val switches: FaultSwitches,
) {
    private val connections = ConnectionTracker()
    private val lastAnswers = ConcurrentHashMap<String, HttpAnswer>()

    fun silenceConnections() = connections.silence()

    /** Runs [effect] and sends its answer, with the faults that apply. [kind] groups the answers that may be crossed. */
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
        awaitThaw()
        switches.draw(FaultName.SLOW)?.let { delay(it.delayMs) }
    }

    private suspend fun afterEffect(
        call: ApplicationCall,
        kind: String,
        answer: HttpAnswer,
    ) {
        awaitThaw()
        if (connections.isSilent(call)) awaitCancellation()
        val previous = lastAnswers.put(kind, answer)
        when {
            switches.draw(FaultName.LOSE_ANSWERS) != null -> delay(LOST_ANSWER_HOLD_MS)
            switches.draw(FaultName.TRUNCATE) != null -> call.sendTruncated(answer)
            switches.draw(FaultName.CROSSED_ANSWERS) != null -> call.send(previous ?: answer)
            else -> call.send(answer)
        }
    }

    /** Waits until the process is no longer frozen; what arrived meanwhile takes effect then. */
    private suspend fun awaitThaw() {
        while (switches.isOn(FaultName.FREEZE)) delay(THAW_POLL_MS)
    }

    private companion object {
        // Longer than any caller waits.
        const val LOST_ANSWER_HOLD_MS = 30_000L
        const val THAW_POLL_MS = 10L
    }
}
