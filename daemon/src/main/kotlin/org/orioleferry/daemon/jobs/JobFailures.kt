package org.orioleferry.daemon.jobs

import org.orioleferry.core.Failure
import org.orioleferry.core.FailureCode
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.JobId

private const val STORE_RETRY_MS = 1_000L

internal fun refusal(
    code: FailureCode,
    message: String,
    details: Map<String, String> = emptyMap(),
): Failure = Failure(code, message, isNotRun = true, details = details)

internal fun storeUnavailable(isNotRun: Boolean = false): Failure =
    Failure(FailureCode.STORE_UNAVAILABLE, "the table service does not answer", isNotRun, STORE_RETRY_MS)

internal fun outcomeUnknown(jobId: JobId): Failure =
    Failure(
        FailureCode.OUTCOME_UNKNOWN,
        "the answer of the table service was lost; ask for the status of job $jobId",
        isNotRun = false,
        retryAfterMs = STORE_RETRY_MS,
        details = mapOf("jobId" to jobId.value),
    )

internal fun notFound(jobId: JobId): Failure =
    Failure(FailureCode.NOT_FOUND, "job $jobId is not known", isNotRun = false)

internal fun keyReused(jobId: JobId): Failure =
    refusal(FailureCode.KEY_REUSED, "job $jobId exists with another content")

internal fun noWorkers(): Failure = refusal(FailureCode.NO_UPSTREAM, "no data centre with workers is known")

internal fun neverFits(gang: Gang): Failure =
    refusal(
        FailureCode.NEVER_FITS,
        "the data centre can never hold ${gang.members} members of ${gang.acceleratorsPerMember} accelerators " +
            "with adjacency ${gang.adjacency.name.lowercase()}",
    )

internal fun aboveQuota(
    gang: Gang,
    quota: Int,
): Failure =
    refusal(
        FailureCode.QUOTA,
        "the job needs ${gang.accelerators} accelerators and the workspace's quota is $quota",
        mapOf("quota" to quota.toString()),
    )
