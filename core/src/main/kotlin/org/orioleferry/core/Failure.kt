package org.orioleferry.core

import kotlinx.serialization.Serializable

/** Stable failure code, which is part of the public API. */
@Serializable
public enum class FailureCode(
    /** HTTP status that the daemon answers with. */
    public val httpStatus: Int,
) {
    BAD_REQUEST(400),
    TOO_LARGE(413),
    UNKNOWN_WORKSPACE(404),
    UNKNOWN_CLASS(404),
    QUEUE_FULL(429),
    DEADLINE(504),
    DRAINING(503),
    STORE_UNAVAILABLE(503),
    NO_UPSTREAM(503),
    UPSTREAM_FAILED(502),
    OUTCOME_UNKNOWN(504),
    KEY_REQUIRED(400),
    KEY_REUSED(409),
    NEVER_FITS(422),
    QUOTA(429),
    NOTE_CONFLICT(409),
    NOTE_INVALID(422),
    NOT_FOUND(404),
    INTERNAL(500),
}

/**
 * A failure as reported to callers and operators.
 *
 * @property isNotRun true only if the work certainly did not run and will not run.
 * @property retryAfterMs delay in milliseconds after which a retry is useful at the earliest.
 */
@Serializable
public data class Failure(
    val code: FailureCode,
    val message: String,
    val isNotRun: Boolean,
    val retryAfterMs: Long? = null,
    val details: Map<String, String> = emptyMap(),
)

/** Result of an operation that fails with a [Failure] instead of an exception. */
public sealed interface Outcome<out T> {
    /** The operation succeeded with [value]. */
    public data class Success<T>(
        val value: T,
    ) : Outcome<T>

    /** The operation failed. */
    public data class Failed(
        val failure: Failure,
    ) : Outcome<Nothing>
}

/** Applies [transform] to the value of a success and returns a failure unchanged. */
public inline fun <T, R> Outcome<T>.map(transform: (T) -> R): Outcome<R> =
    when (this) {
        is Outcome.Success -> Outcome.Success(transform(value))
        is Outcome.Failed -> this
    }
