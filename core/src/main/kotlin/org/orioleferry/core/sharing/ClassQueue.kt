package org.orioleferry.core.sharing

import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.Workspace
import org.orioleferry.core.model.WorkspaceName
import kotlin.math.max

/** The requests of one class, served by weighted round-robin over the workspaces. */
internal class ClassQueue<T>(
    var jobClass: JobClass,
    private val seed: Long,
    private val counter: OperationCounter,
) {
    private val workspaces = LinkedHashMap<WorkspaceName, WorkspaceQueue<T>>()
    private val rate = RateMeter()
    private val peak = PeakMeter()

    /** Virtual time at which the next request of the class starts. */
    var startTag: Double = 0.0

    var size: Int = 0
        private set

    var running: Int = 0
        private set

    /** Mean time in milliseconds that a request of the class holds a slot. */
    var costMs: Double = INITIAL_COST_MS
        private set

    fun queueOf(workspace: Workspace): WorkspaceQueue<T> {
        counter.count()
        val queue = workspaces[workspace.name] ?: WorkspaceQueue(workspace.name, this, seed, counter)
        queue.weight = max(1, workspace.weight)
        return queue
    }

    fun add(
        ticket: Ticket<T>,
        nowMs: Long,
    ) {
        val queue = ticket.workspaceQueue
        if (size == 0) rate.start(nowMs)
        if (queue.size == 0) {
            queue.credit = queue.weight
            workspaces[queue.workspace] = queue
        }
        queue.add(ticket)
        size++
    }

    fun remove(ticket: Ticket<T>) {
        val queue = ticket.workspaceQueue
        val before = queue.size
        queue.remove(ticket)
        size -= before - queue.size
        if (queue.size == 0) workspaces.remove(queue.workspace)
    }

    fun poll(nowMs: Long): Ticket<T> {
        counter.count()
        val (name, queue) = workspaces.entries.first()
        val ticket = queue.poll()
        size--
        queue.credit--
        if (queue.size == 0) {
            workspaces.remove(name)
        } else if (queue.credit <= 0) {
            workspaces.remove(name)
            queue.credit = queue.weight
            workspaces[name] = queue
        }
        rate.count(nowMs)
        return ticket
    }

    fun begin(nowMs: Long) {
        running++
        peak.record(running, nowMs)
    }

    fun end(tookMs: Long) {
        running = max(0, running - 1)
        costMs += (max(1L, tookMs) - costMs) * COST_SMOOTHING
    }

    /** Most slots that the class has used at once in the current and the previous period of [PeakMeter]. */
    fun recentPeak(nowMs: Long): Int = peak.value(nowMs)

    /** Estimated wait of a new request in milliseconds; null when the rate has not been measured yet. */
    fun estimatedWaitMs(
        queue: WorkspaceQueue<T>,
        caller: String,
        shard: Int,
        nowMs: Long,
    ): Long? {
        counter.count()
        val inWorkspace = queue.estimateAhead(caller, shard)
        val rounds = inWorkspace / queue.weight
        val others = workspaces.size - (if (queue.size > 0) 1 else 0)
        val ahead = minOf(size, inWorkspace + (rounds + 1) * others)
        return if (ahead == 0) 0 else rate.timeForMs(ahead, nowMs)
    }

    private companion object {
        const val INITIAL_COST_MS = 100.0
        const val COST_SMOOTHING = 0.1
    }
}

/** Measures the rate at which requests leave a queue, only while requests wait. */
internal class RateMeter {
    private var windowStartMs = 0L
    private var count = 0
    private var ratePerMs: Double? = null

    fun start(nowMs: Long) {
        windowStartMs = nowMs
        count = 0
        ratePerMs = null
    }

    fun count(nowMs: Long) {
        advanceWindow(nowMs)
        count++
    }

    /** Time in milliseconds until [requests] have left the queue; null before the end of the first window. */
    fun timeForMs(
        requests: Int,
        nowMs: Long,
    ): Long? {
        advanceWindow(nowMs)
        val rate = ratePerMs ?: return null
        return (requests / max(rate, MIN_RATE_PER_MS)).toLong()
    }

    private fun advanceWindow(nowMs: Long) {
        val passedMs = nowMs - windowStartMs
        if (passedMs < WINDOW_MS) return
        val observed = count.toDouble() / passedMs
        ratePerMs = ratePerMs?.let { it + (observed - it) * SMOOTHING } ?: observed
        windowStartMs = nowMs
        count = 0
    }

    private companion object {
        const val WINDOW_MS = 500L
        const val SMOOTHING = 0.5
        const val MIN_RATE_PER_MS = 0.0001
    }
}

/** Greatest of the values recorded in the current and the previous period. */
internal class PeakMeter {
    private var periodStartMs = 0L
    private var current = 0
    private var previous = 0

    fun record(
        value: Int,
        nowMs: Long,
    ) {
        advanceWindow(nowMs)
        current = max(current, value)
    }

    fun value(nowMs: Long): Int {
        advanceWindow(nowMs)
        return max(current, previous)
    }

    private fun advanceWindow(nowMs: Long) {
        val periods = (nowMs - periodStartMs) / PERIOD_MS
        if (periods <= 0) return
        previous = if (periods == 1L) current else 0
        current = 0
        periodStartMs += periods * PERIOD_MS
    }

    private companion object {
        const val PERIOD_MS = 5_000L
    }
}
