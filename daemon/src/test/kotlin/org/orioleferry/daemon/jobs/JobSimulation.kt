@file:OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)

package org.orioleferry.daemon.jobs

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.orioleferry.coordination.ownership.Ownership
import org.orioleferry.coordination.ownership.OwnershipState
import org.orioleferry.coordination.ownership.OwnershipView
import org.orioleferry.coordination.upstream.Upstream
import org.orioleferry.coordination.upstream.UpstreamDirectory
import org.orioleferry.coordination.upstream.UpstreamEvidence
import org.orioleferry.coordination.upstream.UpstreamState
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.JobSubmission
import org.orioleferry.core.event.EventType
import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.Guarantee
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.Workspace
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.platform.Fence
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.TableOperation
import org.orioleferry.platform.TableService
import org.orioleferry.platform.WorkerClient
import org.orioleferry.standins.AnswerFault
import org.orioleferry.standins.CallFault
import org.orioleferry.standins.FunctionClock
import org.orioleferry.standins.InMemoryTableService
import org.orioleferry.standins.InProcessWorkerClient
import org.orioleferry.standins.SimulatedWorker
import org.orioleferry.standins.StoreFault
import org.orioleferry.standins.WorkerBehaviour
import org.orioleferry.standins.WorkerCall
import org.orioleferry.standins.WorkerSpecification

internal val domain = DataCentre("kalamata-a")
internal val sheds = WorkspaceName("sheds")
internal val audit = WorkspaceName("audit")
internal val refills = WorkspaceName("refills")
internal val urgentClass = JobClassName("urgent")
internal val routineClass = JobClassName("routine")
internal val urgentOnceClass = JobClassName("urgent-once")
internal val onceClass = JobClassName("once")

/** Simulates one data centre in virtual time, with a store, workers and any number of instances that compete for it. */
internal class JobSimulation(
    private val test: TestScope,
    workerCount: Int = 4,
    val settings: JobSettings = JobSettings(),
) {
    val clock = FunctionClock { test.currentTime }
    var storeFault: suspend (List<TableOperation>) -> StoreFault = { StoreFault.NONE }
    var callFault: suspend (WorkerCall) -> CallFault = { CallFault.NONE }
    var answerFault: suspend (WorkerCall) -> AnswerFault = { AnswerFault.NONE }
    val behaviours = HashMap<WorkerId, WorkerBehaviour>()
    val states = HashMap<WorkerId, UpstreamState>()
    val evidence = mutableListOf<Pair<WorkerId, UpstreamEvidence>>()
    val events = mutableListOf<Triple<Long, EventType, Map<String, String>>>()
    var isHintDelivered = true
    var unresponsiveWorker: WorkerId? = null

    /** Whether workers refuse former owners. Disable it to show which failures the fencing prevents. */
    var isWorkerFencingEnabled = true
    val store = InMemoryTableService { operations -> storeFault(operations) }

    /** The store that instances use. Replace it to disable a safeguard. */
    var tables: TableService = store
    val workers =
        List(workerCount) { index ->
            val specification = WorkerSpecification(WorkerId("w%02d".format(index)), domain, "rack-${index / 6}")
            SimulatedWorker(specification, clock) { behaviours[specification.id] ?: WorkerBehaviour() }
        }
    var configuration =
        Configuration(
            workspaces = listOf(Workspace(sheds), Workspace(audit), Workspace(refills)).associateBy { it.name },
            classes =
                listOf(
                    JobClass(urgentClass, urgency = 0, preemptible = false),
                    JobClass(routineClass, urgency = 7),
                    JobClass(onceClass, idempotent = false),
                    JobClass(urgentOnceClass, urgency = 0, preemptible = false, idempotent = false),
                ).associateBy { it.name },
        )
    val instances = mutableListOf<Instance>()

    fun guarantee(
        workspace: WorkspaceName,
        count: Int,
        accelerators: Int = 8,
        adjacency: Adjacency = Adjacency.WORKER,
    ) {
        val guaranteed = Workspace(workspace, guarantees = listOf(Guarantee(domain, count, accelerators, adjacency)))
        configuration = configuration.copy(workspaces = configuration.workspaces + (workspace to guaranteed))
    }

    /** Starts an instance that owns the domain with the next epoch, after committing the fence row for that epoch. */
    suspend fun startOwner(): Instance {
        val epoch = Epoch(instances.size + 1L)
        val fence = TableOperation(OwnershipView.TABLE, OwnershipView.fenceKey(domain), null, "$epoch")
        val saved = storeFault
        storeFault = { StoreFault.NONE }
        store.commit(listOf(fence))
        val row = store.read(OwnershipView.TABLE, OwnershipView.fenceKey(domain))
        storeFault = saved
        val version = (row as ReadResult.Found).value!!.version
        return Instance(Ownership(domain, OwnershipState.OWNER, epoch, version)).also { instances += it }
    }

    inner class Instance(
        var ownership: Ownership,
    ) {
        private val scope = CoroutineScope(test.coroutineContext + SupervisorJob(test.coroutineContext[Job]))
        private var suffixes = 0
        val service: JobService =
            JobService(
                JobDependencies(
                    tables = tables,
                    upstreams = directory,
                    ownership = { ownership },
                    workers = ::client,
                    configuration = { configuration },
                    clock = clock,
                    events = { type, attributes -> events += Triple(test.currentTime, type, attributes) },
                    sendHint = { id -> if (isHintDelivered) instances.forEach { it.service.onHint(id) } },
                    settings = settings,
                    newSuffix = { "j${ownership.epoch}-${suffixes++}" },
                ),
            )
        private val running = scope.launch { service.run() }

        /** Simulates a crash of the process between two steps, without clean-up. */
        fun kill() {
            ownership = ownership.copy(state = OwnershipState.NOT_OWNER)
            running.cancel()
            scope.cancel()
        }
    }

    val directory =
        object : UpstreamDirectory {
            override fun snapshot(): List<Upstream> =
                workers.map {
                    val id = it.specification.id
                    Upstream(id, domain, it.specification.rack, id.value, states[id] ?: UpstreamState.LIVE)
                }

            override fun report(
                worker: WorkerId,
                evidence: UpstreamEvidence,
            ) {
                this@JobSimulation.evidence += worker to evidence
            }
        }

    private fun client(baseUrl: String): WorkerClient {
        val client = createClient(baseUrl)
        return if (isWorkerFencingEnabled) client else UnfencedClient(client)
    }

    private fun createClient(baseUrl: String) =
        InProcessWorkerClient(
            workers.first { it.id == baseUrl },
            scope = test.backgroundScope,
            beforeEffect = { callFault(it) },
            afterEffect = { answerFault(it) },
        )

    fun gang(
        members: Int,
        accelerators: Int,
        adjacency: Adjacency = Adjacency.DATA_CENTRE,
    ): Gang = Gang(members, accelerators, adjacency)

    suspend fun submitOrNull(
        gang: Gang,
        workMs: Long,
        jobClass: JobClassName,
        workspace: WorkspaceName,
    ): JobRecord? {
        val submission = JobSubmission(workspace, "clerk", jobClass, gang, workMs, workMs, domain)
        return (instances.last().service.submit(submission) as? Outcome.Success)?.value
    }

    suspend fun submit(
        gang: Gang,
        workMs: Long,
        jobClass: JobClassName = routineClass,
        workspace: WorkspaceName = sheds,
        suffix: String? = null,
    ): JobRecord {
        val submission = JobSubmission(workspace, "clerk", jobClass, gang, workMs, workMs, domain, suffix)
        return (instances.last().service.submit(submission) as Outcome.Success).value
    }

    suspend fun row(job: JobRecord): JobRecord = (instances.last().service.status(job.jobId) as Outcome.Success).value

    /** Kills all instances, so that the scope of the test can finish. */
    fun close() = instances.forEach { it.kill() }
}

/** Sends every command with the same epoch, so that a worker cannot detect a former owner. */
private class UnfencedClient(
    private val client: WorkerClient,
) : WorkerClient by client {
    private val same = Fence(domain, Epoch(1))

    override suspend fun claim(fence: Fence) = client.claim(same)

    override suspend fun reserve(
        fence: Fence,
        leaseId: String,
        jobId: JobId,
        attempt: Int,
        accelerators: Int,
        ttlMs: Long,
    ) = client.reserve(same, leaseId, jobId, attempt, accelerators, ttlMs)

    override suspend fun start(
        fence: Fence,
        leaseId: String,
        workMs: Long,
    ) = client.start(same, leaseId, workMs)

    override suspend fun renew(
        fence: Fence,
        leaseId: String,
        ttlMs: Long,
    ) = client.renew(same, leaseId, ttlMs)

    override suspend fun checkpoint(
        fence: Fence,
        leaseId: String,
    ) = client.checkpoint(same, leaseId)

    override suspend fun stop(
        fence: Fence,
        leaseId: String,
    ) = client.stop(same, leaseId)
}
