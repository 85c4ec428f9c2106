package org.orioleferry.core.replay

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.WorkspaceName

/**
 * One job of a recorded or generated stream; one line of JSON in a stream file (`docs/replay.md`).
 *
 * @property submittedMs time of submission in milliseconds since the start of the stream.
 * @property workMs actual run time in milliseconds.
 * @property dataCentre where the job is placed; the replay chooses one when it is null.
 * @property cancelAfterMs time from submission to cancellation, or null when the job is not cancelled.
 */
@Serializable
public data class StreamJob(
    val id: String,
    val submittedMs: Long,
    val workspace: WorkspaceName,
    val caller: String,
    val jobClass: JobClassName,
    val gang: Gang,
    val declaredRunMs: Long,
    val workMs: Long,
    val dataCentre: DataCentre? = null,
    val cancelAfterMs: Long? = null,
)

/** Result of reading a stream. */
public sealed interface StreamResult {
    /** All lines are valid. */
    public data class Loaded(
        val jobs: List<StreamJob>,
    ) : StreamResult

    /** At least one line is no valid job; [problems] has the number of each such line, from 1, with the reason. */
    public data class Rejected(
        val problems: Map<Int, String>,
    ) : StreamResult
}

private val streamJson = Json { ignoreUnknownKeys = true }

/** One line of a stream file. */
public fun StreamJob.toJsonLine(): String = streamJson.encodeToString(StreamJob.serializer(), this)

/** Reads a stream of one job a line. Empty lines are skipped. */
public fun readStream(lines: List<String>): StreamResult {
    val jobs = mutableListOf<StreamJob>()
    val problems = sortedMapOf<Int, String>()
    val ids = HashSet<String>()
    lines.forEachIndexed { index, line ->
        if (line.isBlank()) return@forEachIndexed
        try {
            val job = streamJson.decodeFromString(StreamJob.serializer(), line)
            val problem = problemOf(job) ?: if (ids.add(job.id)) null else "the id ${job.id} occurs twice"
            if (problem == null) jobs += job else problems[index + 1] = problem
        } catch (e: SerializationException) {
            problems[index + 1] = e.message?.lineSequence()?.first() ?: "no valid JSON"
        }
    }
    return if (problems.isEmpty()) {
        StreamResult.Loaded(
            jobs.sortedBy {
                it.submittedMs
            },
        )
    } else {
        StreamResult.Rejected(problems)
    }
}

private fun problemOf(job: StreamJob): String? =
    when {
        job.submittedMs < 0 -> "submittedMs is negative"
        job.workMs < 1 -> "workMs is below 1"
        job.gang.members < 1 || job.gang.acceleratorsPerMember < 1 -> "the gang needs no accelerators"
        (job.cancelAfterMs ?: 0) < 0 -> "cancelAfterMs is negative"
        else -> null
    }
