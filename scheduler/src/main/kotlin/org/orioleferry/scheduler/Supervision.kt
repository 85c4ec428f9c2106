package org.orioleferry.scheduler

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive

// Keeps a fault that recurs at once from using up the processor and the log.
private const val RESTART_DELAY_MS = 500L

/**
 * Runs [action] until this coroutine is cancelled. What [action] throws is logged with [name] and [id], and it is started
 * again, errors of the virtual machine included: the process goes on after a lack of memory, without the part that ended.
 */
public suspend fun supervise(
    log: DecisionLog,
    id: String,
    name: String,
    action: suspend () -> Unit,
) {
    while (true) {
        try {
            action()
            return
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
            recordRestart(log, id, name, e)
        } catch (e: Throwable) {
            recordRestart(log, id, name, e)
        }
        delay(RESTART_DELAY_MS)
    }
}

private fun recordRestart(
    log: DecisionLog,
    id: String,
    name: String,
    cause: Throwable,
) = log.record(SchedulerEvent.INTERNAL_ERROR, id, "in" to name, "error" to cause.stackTraceToString())
