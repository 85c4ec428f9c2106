package org.orioleferry.scheduler.owner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.workers.DirectoryResult
import org.orioleferry.scheduler.workers.ListedWorker

/** Follows the worker directory and keeps a [WorkerSession] with each known worker. */
internal class Fleet(
    private val dependencies: OwnerDependencies,
    private val ownership: Ownership,
    private val runs: RunControl,
    private val scope: CoroutineScope,
) {
    private class Entry(
        val session: WorkerSession,
        val sessionJob: Job,
    )

    private val entries = LinkedHashMap<String, Entry>()
    private val startedAtMs = dependencies.clock.monotonicMs()
    private val directory = dependencies.directory()
    private var isExpiryReported = false

    val sessions: List<WorkerSession> get() = entries.values.map { it.session }

    operator fun get(id: String): WorkerSession? = entries[id]?.session

    /** Whether tasks may be started on [session]. */
    fun isUsable(session: WorkerSession): Boolean =
        session.isOpen && dependencies.clock.monotonicMs() >= session.avoidUntilMs

    /** Follows the directory until cancelled. */
    suspend fun follow(onChange: () -> Unit) {
        while (true) {
            when (val result = directory.refresh()) {
                is DirectoryResult.Listed -> {
                    apply(result.workers)
                    result.departed.forEach(::onWorkerLeft)
                    onChange()
                }
                is DirectoryResult.Unavailable -> Unit
            }
            expireEarlierLeases()
            delay(REFRESH_MS)
        }
    }

    /** Wakes the sessions, which may wait for run ends to be stored. */
    fun wakeSessions() {
        entries.values.forEach { it.session.wake() }
    }

    private fun apply(listed: Map<String, ListedWorker>) {
        listed.values.forEach { worker ->
            val known = entries[worker.id]?.session
            if (known == null) {
                open(worker)
            } else {
                if (worker.isDraining && !known.listed.isDraining) {
                    dependencies.log.record(SchedulerEvent.WORKER_DRAINING, worker.id, "runs" to known.runs.size)
                }
                known.update(worker)
            }
        }
        entries.values.toList().filter { it.session.id !in listed }.forEach { entry ->
            entry.session.isListed = false
            if (entry.session.runs.isEmpty()) {
                entry.sessionJob.cancel()
                entries.remove(entry.session.id)
            }
        }
    }

    /** Ends all runs on a worker that has left the directory itself: it runs nothing any more. */
    private fun onWorkerLeft(id: String) {
        dependencies.log.record(SchedulerEvent.WORKER_LOST, id, "reason" to "left the directory on its own")
        entries[id]?.let { entry ->
            entry.session.endIncarnation("the worker has left")
            entry.sessionJob.cancel()
            entries.remove(id)
        }
        runs.onWorkerSettled(id)
    }

    private fun open(worker: ListedWorker) {
        val session =
            WorkerSession(
                worker,
                dependencies.link,
                ownership,
                dependencies.clock,
                dependencies.settings,
                dependencies.log,
                runs,
            )
        entries[worker.id] = Entry(session, scope.launch { session.run() })
    }

    /** Releases the tasks of earlier owners once every lease that those owners can have granted has expired. */
    private fun expireEarlierLeases() {
        val settings = dependencies.settings
        val runLeaseMs = (settings.runLeaseMs / settings.minClockRate).toLong()
        val boundMs = settings.maxRenewalAgeMs - settings.leaseTtlMs + runLeaseMs + EXPIRY_MARGIN_MS
        if (isExpiryReported || dependencies.clock.monotonicMs() - startedAtMs < boundMs) return
        isExpiryReported = true
        runs.onEarlierLeasesExpired()
    }

    private companion object {
        // A draining worker has to be noticed within 2 s, and the directory itself lags by up to 0.8 s.
        const val REFRESH_MS = 400L
        const val EXPIRY_MARGIN_MS = 500L
    }
}
