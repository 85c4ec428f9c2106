package org.orioleferry.daemon.jobs

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.core.gang.StopCause

/**
 * Latest request to stop a gang; a later request replaces one that was not taken yet.
 *
 * The request is state and not a message, because a message that is handed over while the wait times out is lost.
 */
internal class StopSignal {
    private val pending = MutableStateFlow<StopCause?>(null)

    fun request(cause: StopCause) {
        pending.value = cause
    }

    /** Takes the pending request, or returns null if there is none. */
    fun take(): StopCause? = pending.value.also { pending.value = null }

    /** Takes the pending request, waiting for it up to [timeoutMs] ms; returns null if there is none by then. */
    suspend fun await(timeoutMs: Long): StopCause? {
        withTimeoutOrNull(timeoutMs) { pending.first { it != null } }
        return take()
    }
}
