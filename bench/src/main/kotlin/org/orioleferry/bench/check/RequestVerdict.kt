package org.orioleferry.bench.check

import org.orioleferry.bench.load.CallResult
import org.orioleferry.bench.load.SentRequest
import org.orioleferry.platform.Execution
import org.orioleferry.platform.WorkerRequest
import org.orioleferry.standins.resultOf

/** Violations of the execution guarantees of requests, as request keys, and the requests of [unknown] outcome. */
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
    /** Number of violations. An outcome that is reported as unknown is not one. */
    val violations: Int
        get() = duplicates.size + falseNotRun.size + wrongAnswers.size + answeredWithoutExecution.size
}

/** Checks the answers that callers received against the executions on the workers. */
internal fun checkRequests(
    sent: List<SentRequest>,
    executions: List<Execution>,
): RequestVerdict {
    val byKey = executions.filter { it.kind == "request" && it.key != null }.groupBy { it.key }

    fun executionsOf(request: SentRequest) = byKey[request.key].orEmpty()

    fun keysWhere(isViolated: (SentRequest) -> Boolean) = sent.filter(isViolated).map { it.key }
    return RequestVerdict(
        sent = sent.size,
        done = sent.count { it.isDone },
        notRun = sent.count { it.isNotRun },
        failed = sent.count { !it.isDone && !it.isNotRun && !it.isUnknown },
        unknown = keysWhere { it.isUnknown },
        duplicates = keysWhere { !it.isIdempotent && executionsOf(it).size > 1 },
        falseNotRun = keysWhere { it.hasFalseRefusal(executionsOf(it)) },
        wrongAnswers = keysWhere { it.hasWrongAnswer() },
        answeredWithoutExecution = keysWhere { it.isDone && executionsOf(it).none { run -> run.outcome == "done" } },
    )
}

/**
 * Whether a worker ran the request although an answer stated "not run". The answer is false when the request was
 * started before the caller read it, or when it was the caller's last answer and the request was started at all. A
 * start after an earlier refusal belongs to a later attempt of the caller. The attempts of an idempotent request
 * cannot be told apart, so such a request is judged by its last answer, and only if that was the only attempt.
 */
private fun SentRequest.hasFalseRefusal(executions: List<Execution>): Boolean {
    if (isNotRun && executions.isNotEmpty() && attempts.size == 1) return true
    if (isIdempotent) return false
    if (isNotRun && executions.isNotEmpty()) return true
    val refusals = attempts.filter { (it.result as? CallResult.Refused)?.error?.notRun == true }
    return refusals.any { refusal -> executions.any { it.startedMs < refusal.wallMs } }
}

private fun SentRequest.hasWrongAnswer(): Boolean {
    val answer = (last as? CallResult.Answered)?.value ?: return false
    return answer.result != resultOf(WorkerRequest("", body.key, body.jobClass.value, body.payload, body.workMs))
}
