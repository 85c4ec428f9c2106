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
    /** The row is now [held]. */
    data class Written(
        val held: HeldJob,
    ) : WriteResult

    /** The change does not apply to the row as it is now, which is [held], or null when the job has ended. */
    data class Declined(
        val held: HeldJob?,
    ) : WriteResult
}

/** Writes of the domain owner. Every transaction checks the fence row, and lost answers are read back. */
internal class JobWriter(
    private val tables: TableService,
    private val authority: Authority,
    private val retryMs: Long,
) {
    /**
     * Applies [change] to the row until it is committed. [change] returns null to decline. A row that another instance
     * changed meanwhile, which only a request to cancel does, is read again first.
     */
    suspend fun update(
        held: HeldJob,
        change: (JobRecord) -> JobRecord?,
    ): WriteResult {
        var current = held
        while (true) {
            val ownership = authority.awaitOwner()
            val next = change(current.record) ?: return WriteResult.Declined(current)
            val operations = JobRows.replace(current, next) + ownership.toFenceCheck()
            when (val result = tables.commit(operations)) {
                is CommitResult.Committed -> return WriteResult.Written(HeldJob(next, result.versions.first()))
                is CommitResult.Unavailable -> delay(retryMs)
                is CommitResult.Conflicted, is CommitResult.Unknown -> {
                    if (result.breaksFence(operations.lastIndex)) authority.depose()
                    val found = read(current.record.jobId)
                    if (found?.record == next) return WriteResult.Written(found)
                    current = found?.takeUnless { it.record.state.isFinal } ?: return WriteResult.Declined(null)
                }
            }
        }
    }

    /** Reads a job, live or ended, waiting for the store. */
    suspend fun read(jobId: JobId): HeldJob? {
        while (true) {
            authority.requireTerm()
            val result = tables.readJob(jobId)
            if (result is ReadResult.Found) return result.value
            delay(retryMs)
        }
    }

    /** Commits [operations] with the fence check, as often as needed; they must be safe to repeat. */
    suspend fun commitRepeatable(operations: List<TableOperation>) {
        while (true) {
            val ownership = authority.awaitOwner()
            val result = tables.commit(operations + ownership.toFenceCheck())
            if (result.breaksFence(operations.size)) authority.depose()
            if (result is CommitResult.Committed) return
            delay(retryMs)
        }
    }

    private fun CommitResult.breaksFence(index: Int): Boolean =
        this is CommitResult.Conflicted && conflicts.any { it.index == index }
}

/** Reads the live row of [jobId], then the ended one: a job moves only in that direction. */
internal suspend fun TableService.readJob(jobId: JobId): ReadResult<HeldJob?> {
    for (key in listOf(JobRecord.keyOf(jobId), JobRows.endedKey(jobId))) {
        when (val result = read(JobRows.TABLE, key)) {
            is ReadResult.Unavailable -> return result
            is ReadResult.Found -> result.value?.let { return ReadResult.Found(JobRows.decode(it)) }
        }
    }
    return ReadResult.Found(null)
}

/** Reads all rows with [prefix], page by page. */
internal suspend fun TableService.scanJobs(prefix: String): ReadResult<List<HeldJob>> {
    val all = mutableListOf<HeldJob>()
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
