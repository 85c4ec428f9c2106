package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.model.Manifest
import org.orioleferry.scheduler.placement.Rank
import org.orioleferry.scheduler.placement.workspacesWithinGuarantee

/** Ranks jobs under one manifest: urgent work within its workspace's guarantee ranks before all other work. */
internal class Ranks(
    private val manifest: Manifest,
    activeJobs: Collection<Job>,
) {
    /** Workspaces whose urgent work is within their guarantee. */
    private val guaranteed =
        workspacesWithinGuarantee(
            activeJobs
                .filter { priorityOf(it) == Rank.URGENT }
                .groupingBy { it.accepted.spec.workspace }
                .fold(0) { sum, job -> sum + job.maxStepAccelerators },
        ) { workspace -> manifest.workspace(workspace)?.guaranteedAccelerators ?: 0 }

    fun of(job: Job): Int {
        val priority = priorityOf(job)
        return if (priority == Rank.URGENT && job.accepted.spec.workspace in guaranteed) Rank.GUARANTEED else priority
    }

    private fun priorityOf(job: Job): Int = manifest.policyOf(job.accepted.spec).priority
}
