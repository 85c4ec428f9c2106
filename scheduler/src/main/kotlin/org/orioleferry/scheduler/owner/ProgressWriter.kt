package org.orioleferry.scheduler.owner

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.store.CommitResult
import org.orioleferry.scheduler.store.RowCondition
import org.orioleferry.scheduler.store.RowStore
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.RowWrite
import org.orioleferry.scheduler.store.Rows

/**
 * Writes the progress of changed jobs in groups.
 *
 * Each transaction checks the fence row, so that a former owner cannot write, and the version of each row, so that a
 * write whose answer was lost cannot overwrite a later one.
 */
internal class ProgressWriter(
    private val store: RowStore,
    private val ownership: Ownership,
    private val log: DecisionLog,
) {
    /**
     * Changed jobs, each with the sequence number of its earliest change that is not stored yet, or with a lower one
     * after a write has failed. Jobs whose write is in progress are left out.
     */
    private val unstoredSince = LinkedHashMap<Job, Long>()
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private var sequence = 0L
    private var earliestSequenceOfGroup: Long? = null

    /** Number of jobs that are written one by one, because the store has rejected a group of them. */
    private var singleWrites = 0

    private val stored = MutableStateFlow(0L)

    /** Sequence number up to which all changes are stored. */
    val storedSequence: Long get() = stored.value

    /** Called after each stored group. */
    var onStored: () -> Unit = {}

    /** Called when the store will never accept the progress of a job; it ends the job. */
    var onRejected: (job: Job, reason: String) -> Unit = { _, _ -> }

    /** Marks [job] as changed; the change is stored once [storedSequence] reaches the returned sequence number. */
    fun markChanged(job: Job): Long {
        sequence++
        unstoredSince.putIfAbsent(job, sequence)
        wake.trySend(Unit)
        return sequence
    }

    /** Sequence number of the latest change. */
    val latestSequence: Long get() = sequence

    /** Waits until the change with sequence [number] is stored. */
    suspend fun awaitStored(number: Long) {
        stored.first { it >= number }
    }

    /** Writes changed jobs until cancelled. */
    suspend fun run() {
        while (true) {
            wake.receive()
            delay(GROUP_DELAY_MS)
            while (unstoredSince.isNotEmpty() && !ownership.isLost) writeGroup()
        }
    }

    private suspend fun writeGroup() {
        val writes = nextWrites()
        val group = writes.keys.toList()
        val upTo = sequence
        earliestSequenceOfGroup = unstoredSince.getValue(group.first())
        group.forEach { unstoredSince.remove(it) }
        when (val result = store.commit(transactionOf(writes))) {
            is CommitResult.Committed -> {
                group.forEach { it.progressVersion = result.version }
                recordStored(upTo)
            }
            is CommitResult.Conflicted -> resolveConflict(group, result)
            is CommitResult.Rejected -> onGroupRejected(group, result.reason, upTo)
            is CommitResult.Unavailable, is CommitResult.Unknown -> {
                log.record(SchedulerEvent.PROGRESS_FAILED, group.first().id, "jobs" to group.size, "result" to result)
                requeue(group)
                delay(RETRY_MS)
            }
        }
    }

    private fun recordStored(upTo: Long) {
        earliestSequenceOfGroup = null
        stored.value = unstoredSince.values.firstOrNull()?.let { it - 1 } ?: upTo
        onStored()
    }

    /** Returns the encoded progress of the next jobs, within the limits of a transaction. */
    private fun nextWrites(): Map<Job, String> {
        val limit = if (singleWrites > 0) 1 else MAX_GROUP_JOBS
        if (singleWrites > 0) singleWrites--
        val writes = LinkedHashMap<Job, String>()
        var chars = 0
        for (job in unstoredSince.keys) {
            val value = Rows.encode(job.toProgress())
            chars += value.length
            if (writes.size == limit || (writes.isNotEmpty() && chars > MAX_GROUP_CHARS)) break
            writes[job] = value
        }
        return writes
    }

    private fun transactionOf(valuesByJob: Map<Job, String>): RowTransaction =
        RowTransaction(
            conditions =
                listOf(RowCondition(Rows.fence, ownership.fenceVersion)) +
                    valuesByJob.keys.map { RowCondition(Rows.progress(it.id), it.progressVersion) },
            writes = valuesByJob.map { (job, value) -> RowWrite(Rows.progress(job.id), value) },
        )

    /** Finds the job at fault by writing the jobs of a rejected group one by one. */
    private fun onGroupRejected(
        group: List<Job>,
        reason: String,
        upTo: Long,
    ) {
        log.record(SchedulerEvent.PROGRESS_REJECTED, group.first().id, "jobs" to group.size, "reason" to reason)
        if (group.size > 1) {
            singleWrites = group.size
            requeue(group)
            return
        }
        val job = group.single()
        if (!job.state.isEnded) onRejected(job, reason)
        recordStored(upTo)
    }

    private fun resolveConflict(
        group: List<Job>,
        conflict: CommitResult.Conflicted,
    ) {
        val fence = conflict.rows.firstOrNull { it.key == Rows.fence }
        if (fence != null && fence.version != ownership.fenceVersion) {
            ownership.isLost = true
            return
        }
        // Only this owner writes under this fence, so a different version is an earlier write whose answer was lost.
        // A conflict lists the current rows of all conditions; a row that is not listed is absent (version 0).
        val versions = conflict.rows.associate { it.key to it.version }
        group.forEach { job -> job.progressVersion = versions[Rows.progress(job.id)] ?: 0 }
        log.record(
            SchedulerEvent.PROGRESS_FAILED,
            group.first().id,
            "jobs" to group.size,
            "result" to "earlier write found",
        )
        requeue(group)
    }

    private fun requeue(group: List<Job>) {
        val earliest = earliestSequenceOfGroup ?: sequence
        val later = LinkedHashMap(unstoredSince)
        unstoredSince.clear()
        group.forEach { unstoredSince[it] = earliest }
        later.forEach { (job, number) -> unstoredSince.putIfAbsent(job, number) }
        earliestSequenceOfGroup = null
    }

    private companion object {
        // Changes, such as run ends, that are marked within this time share a transaction. Callers see a change up to
        // this much later.
        const val GROUP_DELAY_MS = 4L

        // The store accepts 100 entries per call, and conditions and writes both count: n jobs need n + 1 conditions
        // and n writes.
        const val MAX_GROUP_JOBS = 48

        // A call has at most 1 MB; the encoding of a value adds a third.
        const val MAX_GROUP_CHARS = 600_000
        const val RETRY_MS = 100L
    }
}
