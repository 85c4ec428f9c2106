package org.orioleferry.scheduler.owner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.store.CommitResult
import org.orioleferry.scheduler.store.RowCondition
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.RowWrite
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.store.ScanResult
import org.orioleferry.scheduler.store.read
import org.orioleferry.scheduler.workers.DirectoryResult
import org.orioleferry.scheduler.workers.ListedWorker

/**
 * All workers that the owner knows.
 *
 * Workers on which something may be started are recorded in a row first, so that the next owner knows which ones it has
 * to claim, or to wait for, before it starts a task that an earlier owner may have started.
 */
internal class Fleet(
    private val parts: OwnerParts,
    private val ownership: Ownership,
    private val listener: SessionListener,
    private val scope: CoroutineScope,
) {
    private class Entry(
        val session: WorkerSession,
        val work: Job,
    )

    private val entries = LinkedHashMap<String, Entry>()
    private val beganAtMs = parts.clock.monotonicMs()
    private val directory = parts.directory()
    private var recorded: Set<String> = emptySet()
    private var recordedVersion = 0L
    private var inherited: Set<String> = emptySet()
    private var isClear = false

    val sessions: List<WorkerSession> get() = entries.values.map { it.session }

    operator fun get(id: String): WorkerSession? = entries[id]?.session

    /** Whether tasks may be started on [session]. */
    fun isUsable(session: WorkerSession): Boolean =
        session.isOpen && session.id in recorded && parts.clock.monotonicMs() >= session.avoidUntilMs

    /**
     * Whether nothing that an earlier owner started can be unknown: all recorded workers are claimed, or every lease that
     * an earlier owner could have granted has run out.
     */
    fun isTakeoverClear(): Boolean {
        if (isClear) return true
        val settings = parts.settings
        val leases =
            settings.holdLimitMs - settings.leaseTtlMs + (settings.runLeaseMs / settings.clockSlowdown).toLong() +
                LAPSE_MARGIN_MS
        val waitedMs = parts.clock.monotonicMs() - beganAtMs
        val missing = inherited.filter { entries[it]?.session?.isClaimed != true }
        isClear = missing.isEmpty() || waitedMs > leases
        if (isClear) {
            parts.log.record(
                SchedulerEvent.TAKEOVER_CLEAR,
                parts.settings.instance,
                "waitedMs" to waitedMs,
                "missing" to missing,
            )
        }
        return isClear
    }

    /** Reads which workers earlier owners used. False when the store does not answer. */
    suspend fun loadInUse(): Boolean {
        val scan = parts.store.read(Rows.workersInUse)
        if (scan !is ScanResult.Rows) return false
        val row = scan.rows.firstOrNull()
        recordedVersion = row?.version ?: 0
        inherited =
            row?.let { Rows.json.decodeFromString(ListSerializer(String.serializer()), it.value).toSet() }.orEmpty()
        recorded = inherited
        return true
    }

    /** Follows the directory until cancelled. */
    suspend fun follow(onChange: () -> Unit) {
        while (true) {
            when (val result = directory.refresh()) {
                is DirectoryResult.Listed -> {
                    apply(result.workers)
                    record()
                    onChange()
                }
                is DirectoryResult.Unavailable -> Unit
            }
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

    private fun open(worker: ListedWorker) {
        val session = WorkerSession(worker, parts.link, ownership, parts.clock, parts.settings, parts.log, listener)
        entries[worker.id] = Entry(session, scope.launch { session.run() })
    }

    /** Records the workers in use before anything is started on a new one. */
    private suspend fun record() {
        val wanted = if (isTakeoverClear()) entries.keys.toSet() else entries.keys + inherited
        if (wanted == recorded) return
        val value = Rows.json.encodeToString(ListSerializer(String.serializer()), wanted.sorted())
        val conditions =
            listOf(RowCondition(Rows.fence, ownership.fenceVersion), RowCondition(Rows.workersInUse, recordedVersion))
        when (val result = parts.store.commit(RowTransaction(conditions, listOf(RowWrite(Rows.workersInUse, value))))) {
            is CommitResult.Committed -> {
                recordedVersion = result.version
                recorded = wanted
            }
            is CommitResult.Conflicted ->
                recordedVersion = result.rows.firstOrNull { it.key == Rows.workersInUse }?.version ?: 0
            is CommitResult.Unavailable, is CommitResult.Unknown -> Unit
        }
    }

    private companion object {
        // A draining worker has to be known within 2 s; the directory itself lags by up to 0.8 s.
        const val REFRESH_MS = 400L
        const val LAPSE_MARGIN_MS = 500L
    }
}
