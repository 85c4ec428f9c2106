package org.orioleferry.scheduler.store

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.orioleferry.scheduler.model.AcceptedJob
import org.orioleferry.scheduler.model.CancelledSubmission
import org.orioleferry.scheduler.model.JobProgress

/**
 * Number of jobs of each queue that have not started, as counted by the owner.
 *
 * @property asOfMs time of the count on the store's monotonic clock, 0 when the owner does not know it yet.
 */
@Serializable
public data class WaitingJobs(
    val asOfMs: Long,
    val byQueue: Map<String, Int>,
)

/** Tables and keys of the scheduler in the store, and the encoding of their values. */
public object Rows {
    /** Table of accepted jobs, spread over [JOB_PARTS] parts. */
    public const val JOBS: String = "jobs"

    /** Table of the progress of jobs, written by the owner only. */
    public const val PROGRESS: String = "progress"

    /** Table of the ownership lease and the fence. */
    public const val OWNER: String = "owner"

    /**
     * Number of parts of the table of jobs. A part takes 200 transactions a second; the bursts of the benchmark sweep
     * at 300 machines stay below 8 x 200.
     */
    public const val JOB_PARTS: Int = 8

    /** Part of all rows that the owner writes, so that the same transaction can check the fence. */
    public const val OWNER_PART: String = ""

    public val lease: RowKey = RowKey(OWNER, OWNER_PART, "lease")

    /** Row that changes only with the owner, so that lease renewals do not conflict with fenced transactions. */
    public val fence: RowKey = RowKey(OWNER, OWNER_PART, "fence")

    /** Row with the number of jobs of each queue that have not started, see [WaitingJobs]. */
    public val queueLengths: RowKey = RowKey("queues", OWNER_PART, "lengths")

    public val json: Json =
        Json {
            ignoreUnknownKeys = true
            encodeDefaults = false
        }

    public fun job(id: String): RowKey = RowKey(JOBS, Math.floorMod(id.hashCode(), JOB_PARTS).toString(), id)

    public fun progress(id: String): RowKey = RowKey(PROGRESS, OWNER_PART, id)

    public fun encode(job: AcceptedJob): String = json.encodeToString(AcceptedJob.serializer(), job)

    public fun encode(cancelled: CancelledSubmission): String =
        json.encodeToString(CancelledSubmission.serializer(), cancelled)

    public fun encode(progress: JobProgress): String = json.encodeToString(JobProgress.serializer(), progress)

    /** Returns null when the value cannot be decoded. */
    public fun decodeJob(value: String): AcceptedJob? =
        decode { json.decodeFromString(AcceptedJob.serializer(), value) }

    /** Returns null when the value is not a cancelled submission. */
    public fun decodeCancelled(value: String): CancelledSubmission? =
        decode { json.decodeFromString(CancelledSubmission.serializer(), value) }

    /** Returns null when the value cannot be decoded. */
    public fun decodeProgress(value: String): JobProgress? =
        decode { json.decodeFromString(JobProgress.serializer(), value) }

    /** Returns null when the value cannot be decoded. */
    public fun decodeWaiting(value: String): WaitingJobs? =
        decode { json.decodeFromString(WaitingJobs.serializer(), value) }

    private fun <T> decode(read: () -> T): T? =
        try {
            read()
        } catch (e: SerializationException) {
            null
        } catch (e: IllegalArgumentException) {
            null
        }
}
