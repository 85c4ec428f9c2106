package org.orioleferry.standins

import org.orioleferry.core.Clock
import org.orioleferry.platform.Execution

/** Log of all executions of a worker, in the order of their starts. Not safe for concurrent use. */
internal class ExecutionLog(
    private val worker: String,
    private val clock: Clock,
) {
    private val entries = mutableListOf<Execution>()

    /** Adds a running execution, whose times are readings of the monotonic clock, and returns its position. */
    fun begin(execution: Execution): Int {
        entries += execution.copy(worker = worker)
        return entries.lastIndex
    }

    fun end(
        position: Int,
        endedMs: Long,
        outcome: String,
    ) {
        entries[position] = entries[position].copy(endedMs = endedMs, outcome = outcome)
    }

    /** Returns all executions, with their times converted to the wall clock. */
    fun toList(): List<Execution> {
        val offset = clock.wallMs() - clock.monotonicMs()
        return entries.map { it.copy(startedMs = it.startedMs + offset, endedMs = it.endedMs?.plus(offset)) }
    }

    companion object {
        const val KIND_REQUEST = "request"
        const val KIND_TASK = "task"
    }
}
