package org.orioleferry.daemon.requests

import org.orioleferry.core.Failure
import org.orioleferry.core.FailureCode
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.RequestBody
import org.orioleferry.core.model.Configuration

private const val MAX_NAME_CHARS = 256

/** Checks [body] and looks up its class and workspace. The first step of every request. */
internal fun validateRequest(
    body: RequestBody,
    configuration: Configuration,
    settings: RequestSettings,
    nowMs: Long,
): Outcome<RequestContext> {
    problemOf(body, settings)?.let { return Outcome.Failed(it) }
    val workspace =
        configuration.workspaces[body.workspace]
            ?: return refused(FailureCode.UNKNOWN_WORKSPACE, "no workspace is named ${body.workspace}")
    val jobClass =
        configuration.classes[body.jobClass]
            ?: return refused(FailureCode.UNKNOWN_CLASS, "no class is named ${body.jobClass}")
    if (!jobClass.idempotent && body.key.isNullOrEmpty()) {
        return refused(FailureCode.KEY_REQUIRED, "requests of class ${jobClass.name} need a key")
    }
    val classDeadlineMs = if (jobClass.deadlineMs > 0) jobClass.deadlineMs else settings.defaultDeadlineMs
    val deadlineMs = minOf(body.deadlineMs ?: classDeadlineMs, classDeadlineMs)
    return Outcome.Success(RequestContext(body, jobClass, workspace, nowMs + deadlineMs))
}

private fun problemOf(
    body: RequestBody,
    settings: RequestSettings,
): Failure? {
    val deadlineMs = body.deadlineMs
    return when {
        body.payload.length > settings.maxBodyBytes || body.payload.toByteArray().size > settings.maxBodyBytes ->
            RequestFailures.notRun(FailureCode.TOO_LARGE, "the payload exceeds ${settings.maxBodyBytes} bytes")

        body.caller.isEmpty() || body.caller.length > MAX_NAME_CHARS ->
            RequestFailures.notRun(FailureCode.BAD_REQUEST, "caller must have 1 to $MAX_NAME_CHARS characters")

        body.key != null && (body.key.orEmpty().length > MAX_NAME_CHARS || '/' in body.key.orEmpty()) ->
            RequestFailures.notRun(
                FailureCode.BAD_REQUEST,
                "key must have at most $MAX_NAME_CHARS characters and no '/'",
            )

        body.workMs < 0 || (deadlineMs != null && deadlineMs <= 0) ->
            RequestFailures.notRun(
                FailureCode.BAD_REQUEST,
                "workMs must not be negative and deadlineMs must be positive",
            )

        else -> null
    }
}

private fun refused(
    code: FailureCode,
    message: String,
): Outcome.Failed = Outcome.Failed(RequestFailures.notRun(code, message))
