package org.orioleferry.scheduler.owner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.workers.DirectoryResult
import org.orioleferry.scheduler.workers.ListedWorker

/** All workers that the owner knows. Follows the directory and keeps a [WorkerSession] with each. */
internal class Fleet(
    private val parts: OwnerParts,
    private val ownership: Ownership,
    private val runs: RunControl,
    private val scope: CoroutineScope,
) {
    private class Entry(
        val session: WorkerSession,
        val work: Job,
    )

    private val entries = LinkedHashMap<String, Entry>()
    private val beganAtMs = parts.clock.monotonicMs()
    private val directory = parts.directory()
    private var isSettled = false

    val sessions: List<WorkerSession> get() = entries.values.map { it.session }

    operator fun get(id: String): WorkerSession? = entries[id]?.session

    /** Whether tasks may be started on [session]. */
    fun isUsable(session: WorkerSession): Boolean = session.isOpen && parts.clock.monotonicMs() >= session.avoidUntilMs

    /** Follows the directory until cancelled. */
    suspend fun follow(onChange: () -> Unit) {
        while (true) {
            when (val result = directory.refresh()) {
                is DirectoryResult.Listed -> {
                    apply(result.workers)
                    result.left.forEach(::onLeft)
                    onChange()
                }
                is DirectoryResult.Unavailable -> Unit
            }
            settleByTime()
            delay(REFRESH_MS)
        }
    }

    /** Wakes the sessions that wait for their ends to be stored. */
    fun wakeWaiting() {
        entries.values.forEach { it.session.wake() }
    }

    private fun apply(listed: Map<String, ListedWorker>) {
        listed.values.forEach { worker ->
            val known = entries[worker.id]?.session
            if (known == null) {
                open(worker)
            } else {
                if (worker.isDraining && !known.listed.isDraining) {
                    parts.log.record(SchedulerEvent.WORKER_DRAINING, worker.id, "runs" to known.runs.size)
                }
                known.update(worker)
            }
        }
        entries.values.toList().filter { it.session.id !in listed }.forEach { entry ->
            entry.session.isListed = false
            if (entry.session.runs.isEmpty()) {
                entry.work.cancel()
                entries.remove(entry.session.id)
            }
        }
    }

    /** A worker that has left on its own runs nothing any more. */
    private fun onLeft(id: String) {
        parts.log.record(SchedulerEvent.WORKER_LOST, id, "reason" to "left the directory on its own")
        entries[id]?.let { entry ->
            entry.session.endLife("the worker has left")
            entry.work.cancel()
            entries.remove(id)
        }
        runs.onWorkerSettled(id)
    }

    private fun open(worker: ListedWorker) {
        val session = WorkerSession(worker, parts.link, ownership, parts.clock, parts.settings, parts.log, runs)
        entries[worker.id] = Entry(session, scope.launch { session.run() })
    }

    /** Settles what is still open of earlier owners once every lease that one of them can have granted has run out. */
    private fun settleByTime() {
        val settings = parts.settings
        val runLeaseMs = (settings.runLeaseMs / settings.clockSlowdown).toLong()
        val boundMs = settings.holdLimitMs - settings.leaseTtlMs + runLeaseMs + LAPSE_MARGIN_MS
        if (isSettled || parts.clock.monotonicMs() - beganAtMs < boundMs) return
        isSettled = true
        runs.onEarlierLeasesLapsed()
    }

    private companion object {
        // A draining worker has to be known within 2 s; the directory itself lags by up to 0.8 s.
        const val REFRESH_MS = 400L
        const val LAPSE_MARGIN_MS = 500L
    }
}
