package org.orioleferry.daemon.jobs

import kotlinx.serialization.json.Json
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.JobRecord
import org.orioleferry.platform.Row
import org.orioleferry.platform.TableOperation

/** A job record with the version of its row. */
internal data class VersionedJob(
    val record: JobRecord,
    val version: Long,
)

/**
 * Keys and encoding of the rows in table `jobs`.
 *
 * Ended jobs move to a separate key prefix, so that a new owner loads only jobs that are not final. The inbox lists
 * the jobs that the owner has to process, so that the periodic scan of an idle domain reads no job rows.
 */
internal object JobRows {
    const val TABLE: String = "jobs"
    private const val ENDED = "ended/"
    private const val INBOX = "inbox/"
    private const val CAPACITY = "capacity/"
    private val json =
        Json {
            ignoreUnknownKeys = true
        }

    fun livePrefix(domain: DataCentre): String = "$domain/"

    fun endedPrefix(domain: DataCentre): String = "$ENDED$domain/"

    fun inboxPrefix(domain: DataCentre): String = "$INBOX$domain/"

    fun capacityKey(domain: DataCentre): String = "$CAPACITY$domain"

    fun endedKey(jobId: JobId): String = ENDED + JobRecord.keyOf(jobId)

    fun inboxKey(jobId: JobId): String = INBOX + JobRecord.keyOf(jobId)

    fun jobIdOf(inboxKey: String): JobId = JobId(inboxKey.substringAfterLast('/'))

    fun encode(record: JobRecord): String = json.encodeToString(JobRecord.serializer(), record)

    fun decode(row: Row): VersionedJob =
        VersionedJob(json.decodeFromString(JobRecord.serializer(), row.value), row.version)

    /** Adds [jobId] to the inbox of its owner. */
    fun notify(jobId: JobId): TableOperation = TableOperation(TABLE, inboxKey(jobId), expected = null, value = "")

    /** Replaces the live row, or moves it to the ended rows when [next] is final. The first operation writes [next]. */
    fun replace(
        current: VersionedJob,
        next: JobRecord,
    ): List<TableOperation> =
        if (next.state.isFinal) {
            listOf(
                TableOperation(TABLE, endedKey(next.jobId), expected = 0, value = encode(next)),
                TableOperation(TABLE, next.key, expected = current.version, value = null),
            )
        } else {
            listOf(TableOperation(TABLE, next.key, expected = current.version, value = encode(next)))
        }
}
