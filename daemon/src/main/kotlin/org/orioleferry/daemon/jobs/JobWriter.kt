package org.orioleferry.daemon.jobs

import kotlinx.coroutines.delay
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.JobRecord
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.TableOperation
import org.orioleferry.platform.TableService

/** Result of changing a job row. */
internal sealed interface WriteResult {
    /** The row is now [job]. */
    data class Written(
        val job: VersionedJob,
    ) : WriteResult

    /** The change does not apply to the row as it is now, which is [job], or null when the job has ended. */
    data class Declined(
        val job: VersionedJob?,
    ) : WriteResult
}

/** Writes job rows for the owner of a domain. Every transaction checks the fence row; lost answers are read back. */
internal class JobWriter(
    private val tables: TableService,
    private val guard: OwnershipGuard,
    private val retryMs: Long,
) {
    /**
     * Applies [change] to the row, and repeats until the write is committed. [change] returns null to decline. When
     * another instance has changed the row, which only a request to cancel does, it is read again first.
     */
    suspend fun update(
        job: VersionedJob,
        change: (JobRecord) -> JobRecord?,
    ): WriteResult {
        var current = job
        while (true) {
            val ownership = guard.awaitConfirmedOwnership()
            val next = change(current.record) ?: return WriteResult.Declined(current)
            val operations = JobRows.replace(current, next) + ownership.toFenceCheck()
            when (val result = tables.commit(operations)) {
                is CommitResult.Committed -> return WriteResult.Written(VersionedJob(next, result.versions.first()))
                is CommitResult.Unavailable -> delay(retryMs)
                is CommitResult.Conflicted, is CommitResult.Unknown -> {
                    if (result.violatesFence(operations.lastIndex)) guard.failSuperseded()
                    val found = read(current.record.jobId)
                    if (found?.record == next) return WriteResult.Written(found)
                    current = found?.takeUnless { it.record.state.isFinal } ?: return WriteResult.Declined(null)
                }
            }
        }
    }

    /** Reads a live or ended job, and repeats until the store answers. */
    suspend fun read(jobId: JobId): VersionedJob? {
        while (true) {
            guard.requireCurrentTerm()
            val result = tables.readJob(jobId)
            if (result is ReadResult.Found) return result.value
            delay(retryMs)
        }
    }

    /** Commits [operations] with the fence check, and repeats until it succeeds; they must be safe to repeat. */
    suspend fun commitRepeatable(operations: List<TableOperation>) {
        while (true) {
            val ownership = guard.awaitConfirmedOwnership()
            val result = tables.commit(operations + ownership.toFenceCheck())
            if (result.violatesFence(operations.size)) guard.failSuperseded()
            if (result is CommitResult.Committed) return
            delay(retryMs)
        }
    }

    private fun CommitResult.violatesFence(index: Int): Boolean =
        this is CommitResult.Conflicted && conflicts.any { it.index == index }
}

/** Reads the live row of [jobId], then the ended one, since a job moves only in that direction. */
internal suspend fun TableService.readJob(jobId: JobId): ReadResult<VersionedJob?> {
    for (key in listOf(JobRecord.keyOf(jobId), JobRows.endedKey(jobId))) {
        when (val result = read(JobRows.TABLE, key)) {
            is ReadResult.Unavailable -> return result
            is ReadResult.Found -> result.value?.let { return ReadResult.Found(JobRows.decode(it)) }
        }
    }
    return ReadResult.Found(null)
}

/** Reads all rows with [prefix], page by page. */
internal suspend fun TableService.scanJobs(prefix: String): ReadResult<List<VersionedJob>> {
    val all = mutableListOf<VersionedJob>()
    var after: String? = null
    while (true) {
        when (val page = scan(JobRows.TABLE, prefix, after)) {
            is ReadResult.Unavailable -> return page
            is ReadResult.Found -> {
                all += page.value.map(JobRows::decode)
                if (page.value.size < TableService.DEFAULT_SCAN_LIMIT) return ReadResult.Found(all)
                after = page.value.last().key
            }
        }
    }
}
