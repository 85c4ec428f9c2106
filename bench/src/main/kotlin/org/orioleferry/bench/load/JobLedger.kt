package org.orioleferry.bench.load

import kotlinx.coroutines.delay
import org.orioleferry.core.api.JobAccepted
import org.orioleferry.core.api.JobSubmission
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import java.util.concurrent.ConcurrentLinkedQueue

/** Submits jobs, repeats a submission until its outcome is known and remembers what was accepted. */
internal class JobLedger(
    private val client: DaemonClient,
) {
    private val accepted = ConcurrentLinkedQueue<JobId>()

    /** The latest answer to a submission that was not accepted. */
    @Volatile
    var lastRefusal: CallResult<JobAccepted>? = null
        private set

    /** Identifier of the accepted job, or null when it was refused; the suffix makes a repeat safe. */
    suspend fun submit(submission: JobSubmission): JobId? {
        repeat(MAX_TRIES) {
            val result = client.submit(submission)
            if (result !is CallResult.Answered) lastRefusal = result
            when (result) {
                is CallResult.Answered -> return result.value.jobId.also(accepted::add)
                is CallResult.Refused -> if (result.error.code !in RETRIED) return null
                is CallResult.Broken -> Unit
            }
            delay(PAUSE_MS)
        }
        return null
    }

    suspend fun record(job: JobId): JobRecord? = (client.job(job) as? CallResult.Answered)?.value

    /** Waits until the state of [job] meets [condition]; null after [limitMs]. */
    suspend fun await(
        job: JobId,
        limitMs: Long,
        condition: (JobState) -> Boolean,
    ): JobRecord? {
        val endMs = System.currentTimeMillis() + limitMs
        while (System.currentTimeMillis() < endMs) {
            val record = record(job)
            if (record != null && condition(record.state)) return record
            delay(POLL_MS)
        }
        return null
    }

    suspend fun cancel(job: JobId) {
        repeat(MAX_TRIES) {
            if (client.cancel(job) is CallResult.Answered) return
            delay(PAUSE_MS)
        }
    }

    /** Rows of all accepted jobs. */
    suspend fun records(): List<JobRecord> = accepted.toSet().mapNotNull { readSurely(it) }

    private suspend fun readSurely(job: JobId): JobRecord? {
        repeat(MAX_TRIES) {
            record(job)?.let { return it }
            delay(PAUSE_MS)
        }
        return null
    }

    private companion object {
        const val MAX_TRIES = 40
        const val PAUSE_MS = 250L
        const val POLL_MS = 20L
        val RETRIED = setOf("STORE_UNAVAILABLE", "OUTCOME_UNKNOWN", "DRAINING", "NO_UPSTREAM")
    }
}
