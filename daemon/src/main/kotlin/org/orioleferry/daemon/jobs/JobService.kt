package org.orioleferry.daemon.jobs

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.JobList
import org.orioleferry.core.api.JobSubmission
import org.orioleferry.core.api.LateList
import org.orioleferry.core.api.WorkerList
import org.orioleferry.core.api.WorkspaceList
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.placement.PlacementWorker
import java.util.concurrent.ConcurrentHashMap
import kotlin.coroutines.ContinuationInterceptor

/** Accepts jobs of all data centres on every instance, and runs the jobs of the domains that this instance owns. */
public class JobService(
    private val dependencies: JobDependencies,
) {
    private val intake = JobIntake(dependencies)
    private val reports = JobReports(dependencies)
    private val controllers = ConcurrentHashMap<DataCentre, DomainController>()

    /** Commits the job as queued and returns its record. After a failure with `isNotRun`, no row was written. */
    public suspend fun submit(submission: JobSubmission): Outcome<JobRecord> = intake.submit(submission)

    /** Reads the record of the job. */
    public suspend fun status(jobId: JobId): Outcome<JobRecord> = intake.status(jobId)

    /** Asks the owner to cancel the job, and returns its record. Does not change a job that has ended. */
    public suspend fun cancel(jobId: JobId): Outcome<JobRecord> = intake.cancel(jobId)

    /** Jobs of [workspace] in [state]; null selects all. Ended jobs are listed only when [state] is final or null. */
    public suspend fun list(
        workspace: WorkspaceName? = null,
        state: JobState? = null,
    ): Outcome<JobList> = reports.list(workspace, state)

    /** Guaranteed, used, borrowed and reclaimable accelerators of every workspace. */
    public suspend fun workspaces(): Outcome<WorkspaceList> = reports.workspaces()

    /** All known workers with the accelerators that jobs hold. */
    public suspend fun workers(): Outcome<WorkerList> = reports.workers()

    /** Jobs past their expected end, and jobs that failed. */
    public suspend fun late(): Outcome<LateList> = reports.late()

    /** Live workers of every data centre whose owner has published them, for the check of release notes. */
    public suspend fun fleets(): Outcome<Map<DataCentre, List<PlacementWorker>>> = reports.fleets()

    /** Makes the controller read its inbox at once when this instance owns the domain of [jobId]. */
    @Suppress("RedundantSuspendModifier")
    public suspend fun onHint(jobId: JobId) {
        controllers[jobId.dataCentre]?.hint(jobId)
    }

    /** Runs the controllers of all data centres that the directory knows; never returns. */
    public suspend fun run(): Unit =
        coroutineScope {
            val dispatcher = currentCoroutineContext()[ContinuationInterceptor] as CoroutineDispatcher
            while (true) {
                for (domain in dependencies.upstreams
                    .snapshot()
                    .map { it.dataCentre }
                    .distinct()) {
                    if (controllers.containsKey(domain)) continue
                    val controller = DomainController(dependencies, domain)
                    controllers[domain] = controller
                    launch { withContext(dispatcher.limitedParallelism(1)) { controller.run() } }
                }
                delay(dependencies.settings.inboxPeriodMs)
            }
        }
}
