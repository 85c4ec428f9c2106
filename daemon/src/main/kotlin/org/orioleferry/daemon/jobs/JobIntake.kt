package org.orioleferry.daemon.jobs

import org.orioleferry.core.Failure
import org.orioleferry.core.FailureCode
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.JobSubmission
import org.orioleferry.core.event.EventType
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.placement.canEverFit
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.TableOperation

/** Accepts, reads and cancels jobs. Uses the table service only, so that every instance can do it. */
internal class JobIntake(
    private val dependencies: JobDependencies,
) {
    private val tables = dependencies.tables

    suspend fun submit(submission: JobSubmission): Outcome<JobRecord> {
        findProblem(submission)?.let { return Outcome.Failed(it) }
        val domain =
            when (val chosen = chooseDataCentre(submission)) {
                is Outcome.Failed -> return chosen
                is Outcome.Success -> chosen.value
            }
        val record =
            submission.toRecord(
                JobId.of(domain, submission.suffix ?: dependencies.newSuffix()),
                dependencies.clock.wallMs(),
            )
        val accepted = commitNew(record)
        if (accepted is Outcome.Success) {
            dependencies.events(EventType.JOB_ACCEPTED, attributes(record))
            dependencies.sendHint(record.jobId)
        }
        return accepted
    }

    suspend fun status(jobId: JobId): Outcome<JobRecord> =
        when (val result = tables.readJob(jobId)) {
            is ReadResult.Unavailable -> Outcome.Failed(storeUnavailable())
            is ReadResult.Found -> result.value?.let { Outcome.Success(it.record) } ?: Outcome.Failed(notFound(jobId))
        }

    suspend fun cancel(jobId: JobId): Outcome<JobRecord> {
        repeat(MAX_WRITE_ATTEMPTS) {
            val read = tables.readJob(jobId)
            if (read !is ReadResult.Found) return Outcome.Failed(storeUnavailable())
            val job = read.value ?: return Outcome.Failed(notFound(jobId))
            if (job.record.state.isFinal || job.record.cancelRequested) return Outcome.Success(job.record)
            val next = job.record.copy(cancelRequested = true)
            val result = tables.commit(JobRows.replace(job, next) + JobRows.notify(jobId))
            if (result is CommitResult.Unavailable) return Outcome.Failed(storeUnavailable())
            if (result is CommitResult.Committed) {
                dependencies.sendHint(jobId)
                return Outcome.Success(next)
            }
        }
        return Outcome.Failed(outcomeUnknown(jobId))
    }

    private suspend fun commitNew(record: JobRecord): Outcome<JobRecord> {
        val operations =
            listOf(
                TableOperation(JobRows.TABLE, record.key, expected = 0, value = JobRows.encode(record)),
                TableOperation(JobRows.TABLE, JobRows.endedKey(record.jobId), expected = 0, value = null, check = true),
                JobRows.notify(record.jobId),
            )
        repeat(MAX_WRITE_ATTEMPTS) { attempt ->
            when (tables.commit(operations)) {
                is CommitResult.Committed -> return Outcome.Success(record)
                is CommitResult.Unavailable -> {
                    val failure = if (attempt == 0) storeUnavailable(isNotRun = true) else outcomeUnknown(record.jobId)
                    return Outcome.Failed(failure)
                }

                is CommitResult.Conflicted -> return resolveConflict(record)
                // Repeating the transaction shows whether the first one took effect, since both create the row.
                is CommitResult.Unknown -> Unit
            }
        }
        return Outcome.Failed(outcomeUnknown(record.jobId))
    }

    private suspend fun resolveConflict(record: JobRecord): Outcome<JobRecord> {
        val read = tables.readJob(record.jobId) as? ReadResult.Found
        val found = read?.value?.record ?: return Outcome.Failed(outcomeUnknown(record.jobId))
        val isSame = found.submittedFields() == record.submittedFields()
        return if (isSame) Outcome.Success(found) else Outcome.Failed(keyReused(record.jobId))
    }

    private fun JobRecord.submittedFields(): List<Any> =
        listOf(workspace, caller, jobClass, gang, declaredRunMs, workMs)

    private fun findProblem(submission: JobSubmission): Failure? {
        val configuration = dependencies.configuration()
        val gang = submission.gang
        val isWellFormed = gang.members > 0 && gang.acceleratorsPerMember > 0 && submission.workMs >= 0
        val isSuffixValid = submission.suffix?.matches(SUFFIX) ?: true
        return when {
            !isWellFormed -> refusal(FailureCode.BAD_REQUEST, "members and accelerators must be positive")
            !isSuffixValid -> refusal(FailureCode.BAD_REQUEST, "a suffix has 1 to 64 letters, digits, '-' or '_'")
            submission.workspace !in configuration.workspaces ->
                refusal(FailureCode.UNKNOWN_WORKSPACE, "workspace ${submission.workspace} is not known")

            submission.jobClass !in configuration.classes ->
                refusal(FailureCode.UNKNOWN_CLASS, "class ${submission.jobClass} is not known")

            else -> null
        }
    }

    /** Chooses the requested data centre, else the one that already has the suffix, else one that can fit the gang. */
    private suspend fun chooseDataCentre(submission: JobSubmission): Outcome<DataCentre> {
        val given = submission.dataCentre
        val known = (dependencies.upstreams.snapshot().map { it.dataCentre }).distinct().sortedBy { it.value }
        val candidates = if (given != null) listOf(given) else known
        if (candidates.isEmpty()) return Outcome.Failed(noWorkers())
        for (domain in candidates) {
            val suffix = submission.suffix ?: break
            val read = tables.readJob(JobId.of(domain, suffix))
            if (read !is ReadResult.Found) return Outcome.Failed(storeUnavailable(isNotRun = true))
            if (read.value != null) return Outcome.Success(domain)
        }
        return chooseFitting(orderByPreference(candidates, submission), submission)
    }

    private suspend fun chooseFitting(
        candidates: List<DataCentre>,
        submission: JobSubmission,
    ): Outcome<DataCentre> {
        var refusal = neverFits(submission.gang)
        for (domain in candidates) {
            val quota = quotaOf(submission, domain)
            val read = tables.readCapacity(domain)
            if (read !is ReadResult.Found) return Outcome.Failed(storeUnavailable(isNotRun = true))
            val workers = read.value?.workers?.map { it.toPlacementWorker() }
            when {
                quota != null && submission.gang.accelerators > quota -> refusal = aboveQuota(submission.gang, quota)
                workers == null || canEverFit(submission.gang, workers) -> return Outcome.Success(domain)
            }
        }
        return Outcome.Failed(refusal)
    }

    /** Sorts data centres with a guarantee for the workspace first, then by hash, so that a retry chooses the same. */
    private fun orderByPreference(
        candidates: List<DataCentre>,
        submission: JobSubmission,
    ): List<DataCentre> {
        val guarantees =
            dependencies
                .configuration()
                .workspaces[submission.workspace]
                ?.guarantees
                .orEmpty()
        val seed = submission.suffix ?: dependencies.newSuffix()
        return candidates.sortedWith(
            compareBy({ domain -> guarantees.none { it.dataCentre == domain } }, { "$seed/$it".hashCode() }),
        )
    }

    private fun quotaOf(
        submission: JobSubmission,
        domain: DataCentre,
    ): Int? =
        dependencies
            .configuration()
            .workspaces[submission.workspace]
            ?.quotas
            ?.find { it.dataCentre == domain }
            ?.accelerators

    private fun attributes(record: JobRecord) =
        mapOf("job" to record.jobId.value, "workspace" to record.workspace.value)

    private companion object {
        const val MAX_WRITE_ATTEMPTS = 4
        val SUFFIX = Regex("[A-Za-z0-9_-]{1,64}")
    }
}

private fun JobSubmission.toRecord(
    jobId: JobId,
    wallMs: Long,
): JobRecord =
    JobRecord(
        jobId = jobId,
        workspace = workspace,
        caller = caller,
        jobClass = jobClass,
        gang = gang,
        declaredRunMs = declaredRunMs,
        workMs = workMs,
        submittedWallMs = wallMs,
    )
