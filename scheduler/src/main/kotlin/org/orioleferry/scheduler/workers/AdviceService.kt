package org.orioleferry.scheduler.workers

/** Identifies one occurrence of a step. */
public data class StepId(
    val job: String,
    val occurrence: Int,
    val step: Int,
)

/** Answer of the advice service. */
public sealed interface AdviceResult {
    /**
     * [tickets] by id of the workers that may run the step. Each ticket is valid for [validMs] ms and for one
     * incarnation of its worker.
     */
    public data class Allowed(
        val tickets: Map<String, String>,
        val validMs: Long,
    ) : AdviceResult

    public data class Unavailable(
        val reason: String,
    ) : AdviceResult
}

/** Tells which workers the policy of a queue allows to run a step. */
public fun interface AdviceService {
    /** Asks which of [workers], at most 100, may run [step] and waits at most [timeoutMs] ms for the answer. */
    public suspend fun requestAdvice(
        step: StepId,
        workers: List<String>,
        timeoutMs: Long,
    ): AdviceResult
}
