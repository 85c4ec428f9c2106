package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.model.CancelledSubmission
import org.orioleferry.scheduler.model.JobLimits
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.store.CommitResult
import org.orioleferry.scheduler.store.RowCondition
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.store.StoredRow

/** In-memory index of the jobs read from the store. */
internal class JobRegistry(
    private val dependencies: OwnerDependencies,
    private val writer: ProgressWriter,
    private val ownership: Ownership,
) {
    private val jobs = LinkedHashMap<String, Job>()
    private val limits = JobLimits(dependencies.settings.maxRowBytes)

    /** Ids of jobs that this owner neither starts nor stops, because it cannot read or handle them. */
    private val setAsideIds = HashSet<String>()

    /** Jobs that have not ended, in the order in which their acceptance rows were read. */
    val activeJobs: Collection<Job> get() = activeJobsById.values
    private val activeJobsById = LinkedHashMap<String, Job>()

    /** Ids that were cancelled before their jobs were stored. */
    private val cancelledSubmissions = HashMap<String, CancelledRow>()

    private class CancelledRow(
        val cancelledMs: Long,
        val version: Long,
    )

    /** Store versions at which this owner removed the rows of jobs; a read that began earlier may still show them. */
    private val purgedVersions = HashMap<String, Long>()

    operator fun get(id: String): Job? = jobs[id]

    fun load(
        accepted: List<StoredRow>,
        progress: List<StoredRow>,
    ) {
        val progressById = progress.associateBy { it.key.key }
        accepted.forEach { row -> guarded(row.key.key) { add(row, progressById[row.key.key]) } }
    }

    private fun add(
        row: StoredRow,
        progress: StoredRow?,
    ): Job? {
        if (row.key.key in setAsideIds) return null
        val accepted = Rows.decodeJob(row.value)
        if (accepted == null) {
            val cancelled = Rows.decodeCancelled(row.value)
            if (cancelled == null) recordUnreadable(row) else addCancelled(row, cancelled)
            return null
        }
        cancelledSubmissions.remove(row.key.key)
        val stored = progress?.let { Rows.decodeProgress(it.value) }
        if (progress != null && stored == null) {
            // Without its progress, tasks that are done or running would be started again.
            recordUnreadable(progress)
            setAside(row.key.key, "unreadable progress")
            return null
        }
        val job = Job(accepted, row.version, stored, progress?.version ?: 0, limits)
        jobs[job.id] = job
        if (job.state.isEnded) return job
        activeJobsById[job.id] = job
        dependencies.log.record(
            SchedulerEvent.JOB_SEEN,
            job.id,
            "version" to row.version,
            "queue" to accepted.spec.queue,
            "state" to job.state,
        )
        if (accepted.isCancelled) end(job, JobState.CANCELLED, "cancelled before the term")
        // A job that has begun was accepted under other limits and goes on.
        val violation = if (stored == null) limits.violationOf(accepted.spec) else null
        if (violation != null) end(job, JobState.FAILED, violation)
        return job
    }

    private fun addCancelled(
        row: StoredRow,
        cancelled: CancelledSubmission,
    ) {
        cancelledSubmissions[row.key.key] = CancelledRow(cancelled.cancelledMs, row.version)
    }

    private fun recordUnreadable(row: StoredRow) =
        dependencies.log.record(
            SchedulerEvent.JOB_UNREADABLE,
            row.key.key,
            "table" to row.key.table,
            "version" to row.version,
        )

    /** Whether the job [id] is left alone because of [setAside]. */
    fun isSetAside(id: String): Boolean = id in setAsideIds

    /**
     * Leaves the job [id] alone for the rest of the term, so that the others go on. Its state stays as it is stored, its
     * runs end by themselves and their ends are recorded.
     */
    fun setAside(
        id: String,
        reason: String,
    ) {
        if (!setAsideIds.add(id)) return
        activeJobsById.remove(id)
        dependencies.log.record(SchedulerEvent.JOB_SET_ASIDE, id, "reason" to reason)
    }

    /** Runs [action] on behalf of the job [id]; sets the job aside and returns null if it throws. */
    fun <T> guarded(
        id: String,
        action: () -> T,
    ): T? =
        try {
            action()
        } catch (e: Exception) {
            setAside(id, e.stackTraceToString())
            null
        }

    /** Applies a row from the feed. Returns the job if the row adds or cancels it. */
    fun apply(row: StoredRow): Job? {
        if (row.isDeleted) {
            remove(row.key.key)
            return null
        }
        // Without its progress a removed job would run again.
        if (row.version <= (purgedVersions[row.key.key] ?: 0)) return null
        val job = jobs[row.key.key] ?: return add(row, null)
        if (row.version <= job.acceptedVersion) return null
        val accepted = Rows.decodeJob(row.value) ?: return null
        job.accepted = accepted
        job.acceptedVersion = row.version
        return job.takeIf { accepted.isCancelled && !job.state.isEnded }
    }

    /** Removes the jobs whose rows are not among [rows], the whole table as of the store version [version] or later. */
    fun removeMissing(
        rows: List<StoredRow>,
        version: Long,
    ) {
        val ids = rows.mapTo(HashSet()) { it.key.key }
        jobs.values.filter { it.acceptedVersion <= version && it.id !in ids }.forEach { remove(it.id) }
        cancelledSubmissions.entries.removeIf { (id, row) -> row.version <= version && id !in ids }
    }

    private fun remove(id: String) {
        jobs.remove(id)
        activeJobsById.remove(id)
        cancelledSubmissions.remove(id)
    }

    /** Returns the tasks of which an earlier owner's run may still exist on a worker. */
    fun unresolvedTasks(): List<Task> =
        activeJobs
            .flatMap { job ->
                job.openSteps
            }.flatMap { it.tasks }
            .filter { it.unresolvedWorker.isNotEmpty() }

    /** Returns the tasks of which an earlier owner's run may still exist on [worker]. */
    fun unresolvedTasksOn(worker: String): List<Task> = unresolvedTasks().filter { it.unresolvedWorker == worker }

    /** Ends [job] and returns the sequence number of the change; callers see the state once it is stored. */
    fun end(
        job: Job,
        state: JobState,
        reason: String,
    ): Long {
        if (job.state.isEnded) return writer.latestSequence
        job.state = state
        job.endedMs = dependencies.clock.wallMs()
        activeJobsById.remove(job.id)
        dependencies.log.record(
            SchedulerEvent.JOB_ENDED,
            job.id,
            "state" to state,
            "reason" to reason,
            "ageMs" to (job.endedMs - job.accepted.acceptedMs),
            "objectiveMs" to objectiveMsOf(job),
        )
        return writer.markChanged(job)
    }

    /**
     * Returns the time in ms within which [job] should be done, from its longest chain of estimates. The time
     * begins at the acceptance, or at the due time of each occurrence of a scheduled job.
     */
    fun objectiveMsOf(job: Job): Long {
        val spec = job.accepted.spec
        val policy = dependencies.policyOf(spec)
        return (spec.longestChainMs * policy.stretch).toLong() + policy.objectiveOffsetMs
    }

    /** Removes the rows of ended jobs whose state no longer has to be readable. */
    suspend fun purge() {
        val cutoffMs = dependencies.clock.wallMs() - dependencies.settings.statusRetentionMs - PURGE_SLACK_MS
        if (!purgeCancelled(cutoffMs)) return
        val purgeable =
            jobs.values.filter { it.state.isEnded && it.endedMs in 1 until cutoffMs && it.liveRunCount == 0 }.take(
                MAX_PURGED_JOBS,
            )
        purgeable.forEach { job ->
            val acceptance = RowTransaction(removals = listOf(Rows.job(job.id)))
            val progress =
                RowTransaction(
                    conditions = listOf(RowCondition(Rows.fence, ownership.fenceVersion)),
                    removals = listOf(Rows.progress(job.id)),
                )
            val removal = dependencies.store.commit(acceptance) as? CommitResult.Committed ?: return
            purgedVersions[job.id] = removal.version
            if (dependencies.store.commit(progress) !is CommitResult.Committed) return
            jobs.remove(job.id)
        }
    }

    /** Removes the cancelled submissions from before [cutoffMs]. Returns false if the store did not take a removal. */
    private suspend fun purgeCancelled(cutoffMs: Long): Boolean {
        val purgeable = cancelledSubmissions.filterValues { it.cancelledMs < cutoffMs }.entries.take(MAX_PURGED_JOBS)
        purgeable.forEach { (id, row) ->
            val key = Rows.job(id)
            val removal = RowTransaction(listOf(RowCondition(key, row.version)), removals = listOf(key))
            when (dependencies.store.commit(removal)) {
                // A changed row is followed by the feed.
                is CommitResult.Committed, is CommitResult.Conflicted -> cancelledSubmissions.remove(id, row)
                else -> return false
            }
        }
        return true
    }

    private companion object {
        // Tolerance for callers that ask shortly after the retention time.
        const val PURGE_SLACK_MS = 30_000L

        // Keeps the writes of a purge below a tenth of the store's write rate.
        const val MAX_PURGED_JOBS = 50
    }
}
