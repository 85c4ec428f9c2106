package org.orioleferry.bench.check

import org.orioleferry.bench.load.CallResult
import org.orioleferry.bench.load.SentRequest
import org.orioleferry.platform.Execution
import org.orioleferry.platform.WorkerRequest
import org.orioleferry.standins.resultOf

/** Violations of the promises on requests, each with the key of a request; all lists are empty in a good run. */
internal data class RequestVerdict(
    val sent: Int,
    val done: Int,
    val notRun: Int,
    val failed: Int,
    val unknown: List<String>,
    val duplicates: List<String>,
    val falseNotRun: List<String>,
    val wrongAnswers: List<String>,
    val answeredWithoutExecution: List<String>,
) {
    /** Number of broken promises. An unknown outcome is reported truthfully and so breaks none. */
    val violations: Int
        get() = duplicates.size + falseNotRun.size + wrongAnswers.size + answeredWithoutExecution.size
}

/** Compares what callers were told with the workers' own record. */
internal fun checkRequests(
    sent: List<SentRequest>,
    executions: List<Execution>,
): RequestVerdict {
    val byKey = executions.filter { it.kind == "request" && it.key != null }.groupBy { it.key }

    fun runsOf(request: SentRequest) = byKey[request.key].orEmpty()

    fun keysWhere(isViolated: (SentRequest) -> Boolean) = sent.filter(isViolated).map { it.key }
    return RequestVerdict(
        sent = sent.size,
        done = sent.count { it.isDone },
        notRun = sent.count { it.isNotRun },
        failed = sent.count { !it.isDone && !it.isNotRun && !it.isUnknown },
        unknown = keysWhere { it.isUnknown },
        duplicates = keysWhere { !it.isIdempotent && runsOf(it).size > 1 },
        falseNotRun = keysWhere { it.hasFalseRefusal(runsOf(it)) },
        wrongAnswers = keysWhere { it.hasWrongAnswer() },
        answeredWithoutExecution = keysWhere { it.isDone && runsOf(it).none { run -> run.outcome == "done" } },
    )
}

/**
 * A refusal "not run" is false when the request had been started before the refusal was read, or when it was the last
 * word and the request was started at all. A start after an earlier refusal belongs to a later try of the caller.
 * Idempotent requests are only judged by the last word, since their tries cannot be told apart.
 */
private fun SentRequest.hasFalseRefusal(runs: List<Execution>): Boolean {
    if (isNotRun && runs.isNotEmpty() && attempts.size == 1) return true
    if (isIdempotent) return false
    if (isNotRun && runs.isNotEmpty()) return true
    val refusals = attempts.filter { (it.result as? CallResult.Refused)?.error?.notRun == true }
    return refusals.any { refusal -> runs.any { it.startedMs < refusal.wallMs } }
}

private fun SentRequest.hasWrongAnswer(): Boolean {
    val answer = (last as? CallResult.Answered)?.value ?: return false
    return answer.result != resultOf(WorkerRequest("", body.key, body.jobClass.value, body.payload, body.workMs))
}
