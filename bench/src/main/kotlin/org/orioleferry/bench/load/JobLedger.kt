package org.orioleferry.bench.load

import kotlinx.coroutines.delay
import org.orioleferry.core.api.JobAccepted
import org.orioleferry.core.api.JobSubmission
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import java.util.concurrent.ConcurrentLinkedQueue

/** Submits jobs, repeats each submission until its outcome is known and records the accepted ones. */
internal class JobLedger(
    private val client: DaemonClient,
) {
    private val accepted = ConcurrentLinkedQueue<JobId>()

    /** The latest answer to a submission that was not accepted. */
    @Volatile
    var lastRefusal: CallResult<JobAccepted>? = null
        private set

    /**
     * Returns the id of the accepted job, or null when it was refused or its outcome was still unknown after the last
     * try. A repeated submission has the same suffix, so it is accepted at most once.
     */
    suspend fun submit(submission: JobSubmission): JobId? {
        repeat(MAX_TRIES) {
            val result = client.submit(submission)
            if (result !is CallResult.Answered) lastRefusal = result
            when (result) {
                is CallResult.Answered -> return result.value.jobId.also(accepted::add)
                is CallResult.Refused -> if (result.error.code !in RETRYABLE_CODES) return null
                is CallResult.Broken -> Unit
            }
            delay(RETRY_PAUSE_MS)
        }
        return null
    }

    suspend fun record(job: JobId): JobRecord? = (client.job(job) as? CallResult.Answered)?.value

    /** Polls until the state of [job] meets [condition]; returns null after [limitMs]. */
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
            delay(RETRY_PAUSE_MS)
        }
    }

    /** Reads the rows of all accepted jobs; leaves out those that could not be read in any try. */
    suspend fun records(): List<JobRecord> = accepted.toSet().mapNotNull { readWithRetries(it) }

    private suspend fun readWithRetries(job: JobId): JobRecord? {
        repeat(MAX_TRIES) {
            record(job)?.let { return it }
            delay(RETRY_PAUSE_MS)
        }
        return null
    }

    private companion object {
        const val MAX_TRIES = 40
        const val RETRY_PAUSE_MS = 250L
        const val POLL_MS = 20L
        val RETRYABLE_CODES = setOf("STORE_UNAVAILABLE", "OUTCOME_UNKNOWN", "DRAINING", "NO_UPSTREAM")
    }
}
