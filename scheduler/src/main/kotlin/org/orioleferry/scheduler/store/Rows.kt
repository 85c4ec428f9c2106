package org.orioleferry.scheduler.store

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.orioleferry.scheduler.model.AcceptedJob
import org.orioleferry.scheduler.model.JobProgress

/**
 * Jobs of each queue that have not begun, as the owner counted them.
 *
 * @property asOfMs time of the count on the store's steady clock, 0 when the owner does not know it yet.
 */
@Serializable
public data class WaitingJobs(
    val asOfMs: Long,
    val byQueue: Map<String, Int>,
)

/** Tables and keys of the scheduler, and how their values are written. */
public object Rows {
    /** Accepted jobs, spread over [JOB_PARTS] parts. */
    public const val JOBS: String = "jobs"

    /** What the owner stores of jobs. */
    public const val PROGRESS: String = "progress"

    /** Ownership and fence. */
    public const val OWNER: String = "owner"

    /** A part takes 200 transactions a second; the bursts of the sweep at 300 machines stay below 8 x 200. */
    public const val JOB_PARTS: Int = 8

    /** Part of all rows that the owner writes, so that one transaction can check the fence. */
    public const val OWNER_PART: String = ""

    public val lease: RowKey = RowKey(OWNER, OWNER_PART, "lease")

    /** Changes only with the owner, so that renewals do not disturb transactions that check it. */
    public val fence: RowKey = RowKey(OWNER, OWNER_PART, "fence")

    /** Jobs of each queue that have not begun. */
    public val queueLengths: RowKey = RowKey("queues", OWNER_PART, "lengths")

    public val json: Json =
        Json {
            ignoreUnknownKeys = true
            encodeDefaults = false
        }

    public fun job(id: String): RowKey = RowKey(JOBS, Math.floorMod(id.hashCode(), JOB_PARTS).toString(), id)

    public fun progress(id: String): RowKey = RowKey(PROGRESS, OWNER_PART, id)

    public fun encode(job: AcceptedJob): String = json.encodeToString(AcceptedJob.serializer(), job)

    public fun encode(progress: JobProgress): String = json.encodeToString(JobProgress.serializer(), progress)

    /** Null when the value is not one of ours. */
    public fun decodeJob(value: String): AcceptedJob? =
        decode { json.decodeFromString(AcceptedJob.serializer(), value) }

    /** Null when the value is not one of ours. */
    public fun decodeProgress(value: String): JobProgress? =
        decode { json.decodeFromString(JobProgress.serializer(), value) }

    /** Null when the value is not one of ours. */
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
