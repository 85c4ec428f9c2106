package org.orioleferry.daemon.requests

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import org.orioleferry.coordination.upstream.Upstream
import org.orioleferry.coordination.upstream.UpstreamDirectory
import org.orioleferry.coordination.upstream.UpstreamEvidence
import org.orioleferry.coordination.upstream.UpstreamState
import org.orioleferry.core.Failure
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.RequestAnswer
import org.orioleferry.core.api.RequestBody
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.Workspace
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.platform.Execution
import org.orioleferry.platform.SealResult
import org.orioleferry.platform.TableOperation
import org.orioleferry.platform.TableService
import org.orioleferry.platform.WorkerClient
import org.orioleferry.platform.WorkerRequest
import org.orioleferry.standins.AnswerFault
import org.orioleferry.standins.AnswerFaultHook
import org.orioleferry.standins.CallFault
import org.orioleferry.standins.CallFaultHook
import org.orioleferry.standins.FunctionClock
import org.orioleferry.standins.InMemoryTableService
import org.orioleferry.standins.InProcessWorkerClient
import org.orioleferry.standins.SimulatedWorker
import org.orioleferry.standins.StoreFault
import org.orioleferry.standins.WorkerBehaviour
import org.orioleferry.standins.WorkerSpecification
import org.orioleferry.standins.resultOf
import kotlin.random.Random

internal val SHEDS = WorkspaceName("sheds")
internal val CREDIT = JobClassName("shed-credit")
internal val GRADE = JobClassName("grade-check")

/** Simulates a store, workers and instances in one process in virtual time, and checks every answer. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class RequestSimulation(
    private val test: TestScope,
    workerCount: Int = 3,
    slots: Int = 8,
    private val seed: Long = SEED,
    val configuration: Configuration = defaultConfiguration(),
) {
    private val clock = FunctionClock { test.testScheduler.currentTime }
    private var requestIds = 0
    private val services = mutableMapOf<String, RequestService>()

    /** Whether instances exchange the load of each class. */
    var exchangesLoads = true
    var storeFault: suspend (List<TableOperation>) -> StoreFault = { StoreFault.NONE }
    var beforeEffect: CallFaultHook = { CallFault.NONE }
    var afterEffect: AnswerFaultHook = { AnswerFault.NONE }
    var behaviour: (WorkerId) -> WorkerBehaviour = { WorkerBehaviour() }

    /** Wrappers that turn a protection off by replacing a part with a faulty one. */
    var tableOf: (TableService) -> TableService = { it }
    var clientOf: (WorkerClient) -> WorkerClient = { it }

    val store = InMemoryTableService { storeFault(it) }
    val checker = AnswerChecker { executions() }
    val live = mutableSetOf<InstanceId>()
    val workers =
        List(workerCount) { WorkerId("w$it") }.associateWith { id ->
            SimulatedWorker(WorkerSpecification(id, DC, "r1", slots), clock) { behaviour(id) }
        }
    val states = workers.keys.associateWith { UpstreamState.LIVE }.toMutableMap()

    fun startInstance(
        name: String = "e1",
        settings: RequestSettings = RequestSettings(InstanceId(name)),
    ): TestInstance {
        live += settings.instance
        val service =
            RequestService(
                tableOf(store),
                directory(),
                { url -> clientOf(clientFor(url)) },
                { configuration },
                clock,
                { _, _ -> },
                settings,
                RequestPeers({ live.toSet() }, { loadsOfOthers(name) }) { key, candidates ->
                    candidates.maxBy {
                        (
                            key +
                                it
                        ).hashCode()
                    }
                },
                { "$name-${requestIds++}" },
                Random(seed + name.hashCode()),
            )
        services[name] = service
        return TestInstance(service, settings.instance, this, test.backgroundScope)
    }

    fun executions(): List<Execution> = workers.values.flatMap { it.executions() }

    private fun loadsOfOthers(name: String) =
        if (exchangesLoads) services.filterKeys { it != name }.values.map { it.classLoads() } else emptyList()

    private fun clientFor(url: String): WorkerClient =
        InProcessWorkerClient(
            workers.getValue(WorkerId(url)),
            test.backgroundScope,
            beforeEffect = { beforeEffect(it) },
            afterEffect = { afterEffect(it) },
        )

    private fun directory() =
        object : UpstreamDirectory {
            override fun snapshot() = states.map { (id, state) -> Upstream(id, DC, "r1", id.value, state) }

            override fun report(
                worker: WorkerId,
                evidence: UpstreamEvidence,
            ) {
                if (evidence == UpstreamEvidence.LEAVING) states[worker] = UpstreamState.LEAVING
            }
        }

    companion object {
        val SEED: Long = System.getProperty("orioleferry.seed")?.toLong() ?: 20_261_204L
        private val DC = DataCentre("kalamata-a")

        fun defaultConfiguration() =
            Configuration(
                1,
                mapOf(SHEDS to Workspace(SHEDS)),
                listOf(JobClass(CREDIT, 0, idempotent = false, deadlineMs = 4_000), JobClass(GRADE))
                    .associateBy { it.name },
            )
    }
}

/** One instance that can be killed: its background work and its calls end at once, without a drain. */
internal class TestInstance(
    val service: RequestService,
    private val id: InstanceId,
    private val simulation: RequestSimulation,
    parent: CoroutineScope,
) {
    private val scope = CoroutineScope(parent.coroutineContext + Job(parent.coroutineContext[Job]))

    init {
        scope.launch { service.run() }
    }

    fun call(body: RequestBody): Deferred<Outcome<RequestAnswer>> =
        scope.async {
            simulation.checker.begin(body)
            service.handle(body).also { simulation.checker.check(body, it) }
        }

    fun kill() {
        scope.cancel()
        simulation.live -= id
    }
}

internal fun creditRequest(
    key: String,
    payload: String = "credit $key",
    workMs: Long = 100,
    deadlineMs: Long? = null,
): RequestBody = RequestBody(SHEDS, "clerk", CREDIT, key, payload, workMs, deadlineMs)

internal fun gradeRequest(
    payload: String,
    caller: String = "auditor",
    workMs: Long = 100,
    deadlineMs: Long? = null,
): RequestBody = RequestBody(SHEDS, caller, GRADE, null, payload, workMs, deadlineMs)

internal val Outcome<RequestAnswer>.failure: Failure get() = (this as Outcome.Failed).failure

internal val Outcome<RequestAnswer>.answer: RequestAnswer get() = (this as Outcome.Success).value

/** Compares every answer with the record of executions: duplicates, false "not run" and wrong answers. */
internal class AnswerChecker(
    private val executions: () -> List<Execution>,
) {
    private val calls = mutableMapOf<String, Int>()
    private val refusals = mutableMapOf<String, Int>()
    val problems = mutableListOf<String>()
    var unknown = 0
        private set

    fun begin(body: RequestBody) {
        body.key?.let { calls.merge(it, 1, Int::plus) }
    }

    fun check(
        body: RequestBody,
        outcome: Outcome<RequestAnswer>,
    ) {
        when (outcome) {
            is Outcome.Success -> {
                val request = WorkerRequest("", body.key, body.jobClass.value, body.payload)
                if (outcome.value.result != resultOf(request)) problems += "wrong answer to $body: $outcome"
            }

            is Outcome.Failed -> checkFailure(body, outcome.failure)
        }
    }

    /** All problems, including those that can be found only after every call has ended. */
    fun finish(): List<String> {
        val byKey = executions().filter { it.key != null }.groupBy { it.key }
        val duplicates = byKey.filterValues { it.size > 1 }.map { "ran twice: ${it.key} ${it.value}" }
        val refused = calls.filter { (key, count) -> refusals[key] == count && key in byKey }
        return problems + duplicates + refused.map { "every call says not run, but it ran: ${it.key}" }
    }

    private fun checkFailure(
        body: RequestBody,
        failure: Failure,
    ) {
        if (!failure.isNotRun) unknown++
        val key = body.key ?: return
        if (!failure.isNotRun) return
        refusals.merge(key, 1, Int::plus)
        val coversKey = failure.details["scope"] == KeyFilter.SCOPE_KEY
        if (coversKey && executions().any { it.key == key }) problems += "false not run for $key: $failure"
    }
}

/** Reports that a request never ran, without preventing that it starts later. */
internal class IneffectiveSeal(
    private val client: WorkerClient,
) : WorkerClient by client {
    override suspend fun seal(requestId: String): SealResult = SealResult.NeverRun
}
