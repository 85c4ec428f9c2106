package org.orioleferry.daemon.requests

import org.orioleferry.core.Failure
import org.orioleferry.core.api.RequestAnswer
import org.orioleferry.core.api.RequestBody
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.Workspace
import org.orioleferry.platform.NotRunReason

/** State of one request in the filter chain. [deadlineAtMs] is a reading of the monotonic clock. */
internal data class RequestContext(
    val body: RequestBody,
    val jobClass: JobClass,
    val workspace: Workspace,
    val deadlineAtMs: Long,
    val hold: IntentHold? = null,
    val slot: UpstreamSlot? = null,
) {
    /** Key of the row of a non-idempotent request. */
    val rowKey: String get() = RequestRecord.keyOf(body.workspace, requireNotNull(body.key))

    /** The upstream slot of the request; available only to filters after `acquireSlot`. */
    val requiredSlot: UpstreamSlot get() = requireNotNull(slot) { "no upstream slot before the filter acquireSlot" }
}

/** Result of a request in the filter chain. */
internal sealed interface RequestResult {
    /** The complete answer to this request. */
    data class Answered(
        val answer: RequestAnswer,
    ) : RequestResult

    /** The request ends with [failure]. */
    data class Refused(
        val failure: Failure,
    ) : RequestResult

    /** One upstream certainly did not run the request. */
    data class NotRunOnUpstream(
        val reason: NotRunReason,
    ) : RequestResult

    /** One upstream may have run the request. */
    data class Unknown(
        val reason: String,
    ) : RequestResult

    /** The upstream ran the request and it failed there. */
    data class FailedOnUpstream(
        val reason: String,
    ) : RequestResult

    /** A row for the same key exists and is not held by this request. */
    data class Existing(
        val row: StoredRecord,
    ) : RequestResult
}

/** The rest of the chain after a filter. */
internal typealias RequestHandler = suspend (RequestContext) -> RequestResult

/** One step of the chain. It may answer the request itself, change the context, or inspect the result of the rest. */
internal typealias RequestFilter = suspend (RequestContext, RequestHandler) -> RequestResult

/** Joins [filters], the first one outermost, in front of [last]. */
internal fun chainOf(
    filters: List<RequestFilter>,
    last: RequestHandler,
): RequestHandler = filters.foldRight(last) { filter, next -> { context -> filter(context, next) } }
