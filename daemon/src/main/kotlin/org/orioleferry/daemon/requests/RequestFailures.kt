package org.orioleferry.daemon.requests

import org.orioleferry.core.Failure
import org.orioleferry.core.FailureCode

/** Failures of the request path. A failure is marked as not run only where that is certain. */
internal object RequestFailures {
    private const val STORE_RETRY_MS = 1_000L
    private const val UPSTREAM_RETRY_MS = 500L

    fun notRun(
        code: FailureCode,
        message: String,
        retryAfterMs: Long? = null,
    ): Failure = Failure(code, message, isNotRun = true, retryAfterMs = retryAfterMs)

    fun storeUnavailable(): Failure =
        notRun(FailureCode.STORE_UNAVAILABLE, "the store does not accept the request's record", STORE_RETRY_MS)

    fun noUpstream(reason: String): Failure = notRun(FailureCode.NO_UPSTREAM, reason, UPSTREAM_RETRY_MS)

    fun deadline(retryAfterMs: Long? = null): Failure =
        notRun(FailureCode.DEADLINE, "the request was not sent to a worker before its deadline", retryAfterMs)

    fun draining(): Failure = notRun(FailureCode.DRAINING, "the instance is shutting down", 0)

    fun upstreamFailed(reason: String): Failure =
        Failure(FailureCode.UPSTREAM_FAILED, "the worker reports a failure: $reason", isNotRun = false)

    fun outcomeUnknown(
        requestId: String?,
        reason: String,
    ): Failure =
        Failure(
            FailureCode.OUTCOME_UNKNOWN,
            "the request may have run: $reason",
            isNotRun = false,
            retryAfterMs = UPSTREAM_RETRY_MS,
            details = if (requestId == null) emptyMap() else mapOf("requestId" to requestId),
        )

    fun keyReused(): Failure = notRun(FailureCode.KEY_REUSED, "the key belongs to a request with another body")

    fun resultNotRecorded(requestId: String): Failure =
        Failure(
            FailureCode.TOO_LARGE,
            "the request ran, but its result was too large to be recorded",
            isNotRun = false,
            details = mapOf("requestId" to requestId),
        )
}
