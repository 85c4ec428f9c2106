package org.orioleferry.bench.capacity

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.orioleferry.coordination.ownership.Ownership
import org.orioleferry.coordination.ownership.OwnershipState
import org.orioleferry.coordination.ownership.OwnershipView
import org.orioleferry.coordination.upstream.Upstream
import org.orioleferry.coordination.upstream.UpstreamDirectory
import org.orioleferry.coordination.upstream.UpstreamEvidence
import org.orioleferry.coordination.upstream.UpstreamState
import org.orioleferry.core.Outcome
import org.orioleferry.core.SystemClock
import org.orioleferry.core.api.JobSubmission
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.Workspace
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.daemon.jobs.JobDependencies
import org.orioleferry.daemon.jobs.JobService
import org.orioleferry.daemon.jobs.JobSettings
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.TableOperation
import org.orioleferry.standins.InMemoryTableService
import java.util.UUID

/** Names, configuration and upstream directory shared by the measurements inside this process. */
internal object Fixture {
    val dataCentre = DataCentre("kalamata-a")
    val workspace = WorkspaceName("sheds")
    val routine = JobClassName("season-replan")
    val credit = JobClassName("shed-credit")
    val instance = InstanceId("entry-1")
    val configuration =
        Configuration(
            1,
            mapOf(workspace to Workspace(workspace)),
            listOf(JobClass(routine), JobClass(credit, 0, idempotent = false)).associateBy { it.name },
        )

    fun directory(workers: Int): UpstreamDirectory {
        val listed =
            List(workers) {
                val id = "w%04d".format(it)
                Upstream(
                    WorkerId(id),
                    dataCentre,
                    "rack-${it / RACK_SIZE}",
                    "http://127.0.0.1/workers/$id",
                    UpstreamState.LIVE,
                )
            }
        return object : UpstreamDirectory {
            override fun snapshot() = listed

            override fun report(
                worker: WorkerId,
                evidence: UpstreamEvidence,
            ) = Unit
        }
    }

    fun worker(
        baseUrl: String,
        calls: WorkerCalls,
    ) = StatelessWorker(WorkerId(baseUrl.substringAfterLast('/')), dataCentre, calls)

    private const val RACK_SIZE = 6
}

/** Waits until [condition] holds; fails after a timeout, since a figure from an unfinished run would be wrong. */
internal suspend fun await(
    what: String,
    condition: suspend () -> Boolean,
) {
    repeat(AWAIT_TRIES) {
        if (condition()) return
        delay(AWAIT_POLL_MS)
    }
    error("$what did not happen within ${AWAIT_TRIES * AWAIT_POLL_MS} ms")
}

/** Runs the job service of an owner on an in-memory store and on [StatelessWorker]s. */
internal class JobHost private constructor(
    private val tables: InMemoryTableService,
    directory: UpstreamDirectory,
    private val ownership: Ownership,
    private val calls: WorkerCalls,
) {
    private val job = Job()
    private val scope = CoroutineScope(Dispatchers.Default + job)
    val service: JobService =
        JobService(
            JobDependencies(
                tables = tables,
                upstreams = directory,
                ownership = { ownership },
                workers = { Fixture.worker(it, calls) },
                configuration = { Fixture.configuration },
                clock = SystemClock,
                events = { _, _ -> },
                sendHint = ::sendHint,
                settings = JobSettings(taskLeaseTtlMs = TASK_LEASE_TTL_MS),
                newSuffix = { UUID.randomUUID().toString() },
            ),
        )

    init {
        scope.launch { service.run() }
    }

    /** Submits [count] jobs of [members] tasks with [accelerators] each and waits until the inbox is empty. */
    suspend fun submit(
        count: Int,
        members: Int,
        accelerators: Int = 1,
    ) {
        repeat(count) {
            val gang = Gang(members, accelerators)
            val submission =
                JobSubmission(Fixture.workspace, "planner", Fixture.routine, gang, RUN_MS, RUN_MS, Fixture.dataCentre)
            check(service.submit(submission) is Outcome.Success) { "the job service did not accept a job" }
        }
        await("reading $count jobs") { tables.rows("jobs", "inbox/").isEmpty() }
    }

    suspend fun stop() = job.cancelAndJoin()

    private suspend fun sendHint(jobId: JobId) = service.onHint(jobId)

    companion object {
        // The design load has tasks of hours; a long lease keeps renewals out of the short measurements.
        private const val TASK_LEASE_TTL_MS = 60_000L
        private const val RUN_MS = 3_600_000L

        suspend fun start(
            tables: InMemoryTableService,
            directory: UpstreamDirectory,
            calls: WorkerCalls = WorkerCalls(),
            epoch: Long = 1,
        ): JobHost {
            val key = OwnershipView.fenceKey(Fixture.dataCentre)
            val fence = TableOperation(OwnershipView.TABLE, key, expected = null, value = "$epoch")
            val version = (tables.commit(listOf(fence)) as CommitResult.Committed).versions.first()
            val ownership = Ownership(Fixture.dataCentre, OwnershipState.OWNER, Epoch(epoch), version)
            return JobHost(tables, directory, ownership, calls)
        }
    }
}

private const val AWAIT_TRIES = 1_500
private const val AWAIT_POLL_MS = 20L
