package org.orioleferry.daemon.jobs

import org.orioleferry.coordination.upstream.UpstreamState
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.JobList
import org.orioleferry.core.api.LateItem
import org.orioleferry.core.api.LateList
import org.orioleferry.core.api.WorkerList
import org.orioleferry.core.api.WorkerView
import org.orioleferry.core.api.WorkspaceList
import org.orioleferry.core.api.WorkspaceView
import org.orioleferry.core.map
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.core.model.Workspace
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.placement.PlacementWorker
import org.orioleferry.platform.ReadResult

/** Creates reports for operators. Reads the table service, so that every instance gives the same answer. */
internal class JobReports(
    private val dependencies: JobDependencies,
) {
    private val domains: List<DataCentre>
        get() =
            dependencies.upstreams
                .snapshot()
                .map { it.dataCentre }
                .distinct()

    suspend fun list(
        workspace: WorkspaceName?,
        state: JobState?,
    ): Outcome<JobList> {
        val prefixes =
            domains.flatMap { domain ->
                listOf(JobRows.livePrefix(domain)).filter { state?.isFinal != true } +
                    listOf(JobRows.endedPrefix(domain)).filter { state?.isFinal != false }
            }
        return scan(prefixes).map { jobs ->
            JobList(
                jobs.filter {
                    (workspace == null || it.workspace == workspace) &&
                        (state == null || it.state == state)
                },
            )
        }
    }

    suspend fun workspaces(): Outcome<WorkspaceList> =
        scanLive().map { jobs ->
            val running = jobs.filter { it.members.isNotEmpty() }.groupBy { it.workspace }
            WorkspaceList(
                dependencies
                    .configuration()
                    .workspaces.values
                    .map { toView(it, running[it.name].orEmpty()) },
            )
        }

    /** Borrowed accelerators are those that the workspace uses in a data centre beyond its guarantee there. */
    private fun toView(
        workspace: Workspace,
        running: List<JobRecord>,
    ): WorkspaceView {
        val guaranteed =
            workspace.guarantees.groupBy { it.dataCentre }.mapValues {
                it.value.sumOf { guarantee ->
                    guarantee.count *
                        guarantee.accelerators
                }
            }
        val byDataCentre = running.groupBy { it.jobId.dataCentre }
        val borrowed =
            byDataCentre.mapValues { (dataCentre, jobs) ->
                (used(jobs) - (guaranteed[dataCentre] ?: 0)).coerceAtLeast(0)
            }
        val reclaimable =
            byDataCentre.map { (dataCentre, jobs) ->
                minOf(used(jobs.filter(::isPreemptible)), borrowed.getValue(dataCentre))
            }
        return WorkspaceView(
            name = workspace.name,
            guarantees = workspace.guarantees,
            guaranteed = guaranteed.values.sum(),
            used = used(running),
            borrowed = borrowed.values.sum(),
            reclaimable = reclaimable.sum(),
        )
    }

    private fun used(jobs: List<JobRecord>): Int = jobs.sumOf { job -> job.members.sumOf { it.accelerators } }

    private fun isPreemptible(job: JobRecord): Boolean =
        dependencies.configuration().classes[job.jobClass]?.preemptible ?: false

    suspend fun workers(): Outcome<WorkerList> {
        val capacities = mutableMapOf<String, WorkerCapacity>()
        for (domain in domains) {
            val read = dependencies.tables.readCapacity(domain) as? ReadResult.Found
            if (read == null) return Outcome.Failed(storeUnavailable())
            read.value?.workers?.forEach { capacities[it.id.value] = it }
        }
        return scanLive().map { jobs ->
            val membersByWorker = jobs.flatMap { it.members }.groupBy { it.worker }
            WorkerList(
                dependencies.upstreams.snapshot().map { upstream ->
                    val capacity = capacities[upstream.id.value]
                    WorkerView(
                        id = upstream.id,
                        dataCentre = upstream.dataCentre,
                        rack = upstream.rack,
                        state = upstream.state.name.lowercase(),
                        accelerators = capacity?.accelerators ?: 0,
                        acceleratorsInUse = membersByWorker[upstream.id].orEmpty().sumOf { it.accelerators },
                        slots = capacity?.slots ?: 0,
                        slotsInUse = 0,
                    )
                },
            )
        }
    }

    suspend fun late(): Outcome<LateList> {
        val nowMs = dependencies.clock.wallMs()
        return scan(domains.flatMap { listOf(JobRows.livePrefix(it), JobRows.endedPrefix(it)) }).map { jobs ->
            LateList(jobs.mapNotNull { toLateItem(it, nowMs) }.sortedByDescending { it.lateMs })
        }
    }

    private fun toLateItem(
        job: JobRecord,
        nowMs: Long,
    ): LateItem? {
        val expectedMs = (job.startedWallMs ?: job.submittedWallMs) + job.declaredRunMs
        val lateMs = ((job.endedWallMs ?: nowMs) - expectedMs).coerceAtLeast(0)
        val isListed = job.state == JobState.FAILED || (!job.state.isFinal && lateMs > 0)
        return LateItem("job", job.jobId.value, job.workspace, job.state.name.lowercase(), lateMs, job.reason)
            .takeIf { isListed }
    }

    suspend fun fleets(): Outcome<Map<DataCentre, List<PlacementWorker>>> {
        val states = dependencies.upstreams.snapshot().associate { it.id to it.state }
        val fleets = mutableMapOf<DataCentre, List<PlacementWorker>>()
        for (domain in domains) {
            val read = dependencies.tables.readCapacity(domain) as? ReadResult.Found
            if (read == null) return Outcome.Failed(storeUnavailable())
            val workers = read.value?.workers?.filter { states[it.id] == UpstreamState.LIVE } ?: continue
            fleets[domain] = workers.map { it.toPlacementWorker() }
        }
        return Outcome.Success(fleets)
    }

    private suspend fun scanLive(): Outcome<List<JobRecord>> = scan(domains.map { JobRows.livePrefix(it) })

    private suspend fun scan(prefixes: List<String>): Outcome<List<JobRecord>> {
        val all = mutableListOf<JobRecord>()
        for (prefix in prefixes) {
            when (val result = dependencies.tables.scanJobs(prefix)) {
                is ReadResult.Unavailable -> return Outcome.Failed(storeUnavailable())
                is ReadResult.Found -> all += result.value.map { it.record }
            }
        }
        return Outcome.Success(all)
    }
}
