package org.orioleferry.bench.load

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.orioleferry.core.api.RequestAnswer
import org.orioleferry.core.api.RequestBody
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.WorkspaceName
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random

/** Result of one attempt at a request; [wallMs] is the wall-clock time at which the caller received it. */
internal data class Attempt(
    val result: CallResult<RequestAnswer>,
    val wallMs: Long,
)

/** A request with all its attempts. The last one decides the outcome for the caller. */
internal data class SentRequest(
    val body: RequestBody,
    val isIdempotent: Boolean,
    val attempts: List<Attempt>,
    val firstSentWallMs: Long,
) {
    val key: String get() = checkNotNull(body.key)

    val last: CallResult<RequestAnswer> get() = attempts.last().result

    val isDone: Boolean get() = last is CallResult.Answered

    val isNotRun: Boolean get() = (last as? CallResult.Refused)?.error?.notRun == true

    val isUnknown: Boolean get() = !isDone && !isNotRun && code != FAILED

    private val code: String? get() = (last as? CallResult.Refused)?.error?.code

    private companion object {
        const val FAILED = "UPSTREAM_FAILED"
    }
}

/** Workspace, class and run times of the requests that a load sends. */
internal data class RequestKind(
    val workspace: String,
    val jobClass: String,
    val isIdempotent: Boolean,
    val workMs: LongRange,
)

/** Callers that send requests one after another and repeat each one with its key until its outcome is known. */
internal class RequestLoad(
    private val client: DaemonClient,
    private val kinds: List<RequestKind>,
    private val seed: Long,
) {
    private val finished = ConcurrentLinkedQueue<SentRequest>()

    val sent: List<SentRequest> get() = finished.toList()

    /** Starts [callers] callers that pause for [pauseMs] between requests; cancel the job to stop them at once. */
    fun start(
        scope: CoroutineScope,
        callers: Int,
        pauseMs: Long,
    ): RunningLoad {
        val runningLoad = RunningLoad()
        runningLoad.job =
            scope.launch {
                repeat(callers) { caller -> launch { run(caller, pauseMs, runningLoad) } }
            }
        return runningLoad
    }

    /** Handle of the callers that [start] launched. */
    class RunningLoad {
        lateinit var job: Job

        @Volatile
        var isStopping: Boolean = false

        /** Stops the callers; each one first finishes its current request. */
        suspend fun stop() {
            isStopping = true
            job.join()
        }
    }

    private suspend fun CoroutineScope.run(
        caller: Int,
        pauseMs: Long,
        runningLoad: RunningLoad,
    ) {
        val random = Random(seed * SEEDS_PER_RUN + caller)
        var number = 0
        while (isActive && !runningLoad.isStopping) {
            val kind = kinds[random.nextInt(kinds.size)]
            finished += sendUntilOutcomeKnown(kind.toBody(caller, number++, random), kind.isIdempotent)
            delay(pauseMs)
        }
    }

    private suspend fun sendUntilOutcomeKnown(
        body: RequestBody,
        isIdempotent: Boolean,
    ): SentRequest {
        val attempts = mutableListOf<Attempt>()
        val startedMs = System.currentTimeMillis()
        while (attempts.size < MAX_ATTEMPTS) {
            val result = client.send(body)
            attempts += Attempt(result, System.currentTimeMillis())
            if (!result.needsRetry()) break
            delay(RETRY_PAUSE_MS)
        }
        return SentRequest(body, isIdempotent, attempts, startedMs)
    }

    private fun CallResult<RequestAnswer>.needsRetry(): Boolean =
        when (this) {
            is CallResult.Answered -> false
            is CallResult.Broken -> true
            is CallResult.Refused -> error.notRun || error.code == "OUTCOME_UNKNOWN"
        }

    private fun RequestKind.toBody(
        caller: Int,
        number: Int,
        random: Random,
    ): RequestBody =
        RequestBody(
            workspace = WorkspaceName(workspace),
            caller = "caller-$caller",
            jobClass = JobClassName(jobClass),
            key = "$jobClass-$seed-$caller-$number",
            payload = "tally ${random.nextInt()}",
            workMs = workMs.random(random),
            deadlineMs = DEADLINE_MS,
        )

    private companion object {
        const val SEEDS_PER_RUN = 10_000L
        const val MAX_ATTEMPTS = 40
        const val RETRY_PAUSE_MS = 250L
        const val DEADLINE_MS = 5_000L
    }
}
