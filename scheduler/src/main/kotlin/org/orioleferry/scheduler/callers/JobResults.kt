package org.orioleferry.scheduler.callers

/** Result of submitting a job. */
public sealed interface SubmitResult {
    /** The job is stored. [isRepeat] is true when an earlier call stored it. */
    public data class Accepted(
        val isRepeat: Boolean,
    ) : SubmitResult

    /** The job is beyond the limits and will be refused again. It is not stored. */
    public data class Invalid(
        val reason: String,
    ) : SubmitResult

    /**
     * The workspace has as much open work as it may have. The job is not stored and this call will not store it later
     * either.
     */
    public data object TooMuchOpenWork : SubmitResult

    /**
     * The work ahead of the job leaves it no chance to end while it still has value. The job is not stored and this call
     * will not store it later either. It may be accepted after [retryAfterS] seconds.
     */
    public data class NoCapacity(
        val retryAfterS: Int,
    ) : SubmitResult

    /** The workspace has cancelled the job before it was stored. It is not stored and never runs. */
    public data object Cancelled : SubmitResult

    /** The job is not stored and this call will not store it later either. */
    public data class NotAccepted(
        val reason: String,
    ) : SubmitResult

    /** The job may be stored. The caller can find out by submitting it again under the same id. */
    public data class Unknown(
        val reason: String,
    ) : SubmitResult
}

/** Result of reading or cancelling a job. Jobs of other workspaces are reported as [NoSuchJob]. */
public sealed interface LookupResult<out T> {
    public data class Found<T>(
        val value: T,
    ) : LookupResult<T>

    public data object NoSuchJob : LookupResult<Nothing>

    /** The store gave no usable answer. Nothing was changed. */
    public data class Unavailable(
        val reason: String,
    ) : LookupResult<Nothing>

    /** The cancellation may be stored, or be stored later. The caller can find out by repeating it. */
    public data class Unknown(
        val reason: String,
    ) : LookupResult<Nothing>
}
