package org.orioleferry.scheduler.owner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.workers.DirectoryResult
import org.orioleferry.scheduler.workers.ListedWorker

/** Follows the worker directory and keeps a [WorkerSession] with each worker that is listed or has runs. */
internal class Fleet(
    private val dependencies: OwnerDependencies,
    private val ownership: Ownership,
    private val runs: RunControl,
    private val scope: CoroutineScope,
    private val leavingWorkers: LeavingWorkers,
) {
    private class Entry(
        val session: WorkerSession,
        val sessionJob: Job,
    )

    private val entriesById = LinkedHashMap<String, Entry>()
    private val earlierLeases = EarlierLeases.before(ownership, dependencies.clock, dependencies.settings)
    private val directory = dependencies.directory()
    private val evacuationLog = DataCentreEvacuationLog(dependencies)

    /** The newest incarnation of each worker that was listed in this term, also of those that are listed no more. */
    private val newestIncarnationsMs = HashMap<String, Long>()

    /** Whether the directory has been read in this term; workers that appear later have just begun. */
    private var hasListing = false

    val sessions: List<WorkerSession> get() = entriesById.values.map { it.session }

    operator fun get(id: String): WorkerSession? = entriesById[id]?.session

    /** Whether tasks may be started on [session]. */
    fun isUsable(session: WorkerSession): Boolean =
        session.isOpen && dependencies.clock.monotonicMs() >= session.avoidUntilMs && !isEvacuated(session)

    /** Whether nothing may be started in the data centre of [session] at the operator's request. */
    fun isEvacuated(session: WorkerSession): Boolean = dependencies.evacuations.isRequested(session.listed.dataCentre)

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
            if (ownership.canDecide) entriesById.values.forEach { leavingWorkers.check(it.session) }
            if (ownership.canDecide && hasListing) evacuationLog.check(sessions)
            delay(REFRESH_MS)
        }
    }

    /** Wakes the sessions, which may wait for run ends to be stored. */
    fun wakeSessions() {
        entriesById.values.forEach { it.session.wake() }
    }

    private fun apply(listed: Map<String, ListedWorker>) {
        val isFirst = !hasListing
        hasListing = true
        listed.values.forEach { worker ->
            newestIncarnationsMs.merge(worker.id, worker.incarnationMs, ::maxOf)
            val session = entriesById[worker.id]?.session
            if (session == null) {
                open(worker, isNew = !isFirst)
            } else {
                if (worker.isDraining && !session.listed.isDraining) {
                    dependencies.log.record(SchedulerEvent.WORKER_DRAINING, worker.id, "runs" to session.runs.size)
                }
                session.update(worker)
            }
        }
        entriesById.values.toList().filter { it.session.id !in listed }.forEach { entry ->
            entry.session.isListed = false
            if (entry.session.runs.isEmpty() && !entry.session.awaitsNextLife) {
                entry.sessionJob.cancel()
                entriesById.remove(entry.session.id)
            }
        }
    }

    /** Ends all runs on a worker that has deregistered, which it does only when it runs nothing any more. */
    private fun onWorkerLeft(id: String) {
        dependencies.log.record(SchedulerEvent.WORKER_LOST, id, "reason" to "left the directory on its own")
        val entry = entriesById[id]
        if (entry == null) {
            runs.onWorkerSettled(id)
            return
        }
        scope.launch {
            entry.session.leave()
            if (entry.session.isListed) return@launch
            entry.sessionJob.cancel()
            entriesById.remove(id, entry)
            runs.onWorkerSettled(id)
        }
    }

    private fun open(
        worker: ListedWorker,
        isNew: Boolean,
    ) {
        val session =
            WorkerSession(
                worker,
                dependencies.link,
                ownership,
                dependencies.clock,
                dependencies.settings,
                dependencies.log,
                runs,
                earlierLeases,
                isNew,
            )
        entriesById[worker.id] = Entry(session, scope.launch { session.run() })
    }

    /**
     * Releases the tasks of earlier owners once every lease that those owners can have granted has expired, which takes longer
     * on a worker that has restarted since the start of the task. A worker that was not asked yet may list that they are done,
     * so they wait for the outcome of the call as well. Returns when none is left.
     */
    suspend fun releaseEarlierTasks() {
        var released: Pair<Set<String>, Boolean>? = null
        while (true) {
            val now = dependencies.clock.monotonicMs()
            val awaited = sessions.filter { it.awaitsListing }.mapTo(HashSet()) { it.id }
            val isWaitOver = now >= earlierLeases.endedAfterRestartAtMs
            if (hasListing && now >= earlierLeases.endedAtMs && released != awaited to isWaitOver) {
                released = awaited to isWaitOver
                val left = runs.releaseEarlierTasks(awaited, if (isWaitOver) emptyMap() else newestIncarnationsMs)
                if (left == 0) return
            }
            delay(RELEASE_CHECK_MS)
        }
    }

    private companion object {
        // A draining worker has to be noticed within 2 s, and the directory itself lags by up to 0.8 s.
        const val REFRESH_MS = 400L

        // Delays tasks of workers that cannot be reached after a takeover by this much at most.
        const val RELEASE_CHECK_MS = 20L
    }
}
