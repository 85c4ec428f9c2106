package org.orioleferry.scheduler.owner

/** Bounds the open work of workspaces, so that none of them fills the owner's memory. */
internal object OpenWork {
    /** Open work of one workspace, in units of a task: the tasks of an installation of the size to design for. */
    const val MAX_PER_WORKSPACE = 16_000

    /** Open work of all workspaces. At this bound the jobs take about 12 MB of the owner's heap of 96 MB. */
    const val MAX_TOTAL = 40_000

    // The description of a job, up to 4 KB of payload included, takes as much memory as this number of tasks.
    private const val JOB_UNITS = 16

    /** Returns the workspaces whose open [jobs] are at the bound of a workspace, or beyond their share of the total. */
    fun saturatedWorkspaces(jobs: Collection<Job>): Set<String> {
        val units = HashMap<String, Long>()
        jobs.forEach { units.merge(it.accepted.spec.workspace, JOB_UNITS + it.openTaskLimit, Long::plus) }
        val isFull = units.values.sum() >= MAX_TOTAL
        val limit = if (isFull) minOf(MAX_PER_WORKSPACE, MAX_TOTAL / units.size) else MAX_PER_WORKSPACE
        return units.filterValues { it >= limit }.keys
    }
}
