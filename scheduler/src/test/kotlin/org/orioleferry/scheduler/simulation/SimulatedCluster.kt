package org.orioleferry.scheduler.simulation

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.orioleferry.core.Clock
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.SchedulerSettings
import org.orioleferry.scheduler.ShortageSettings
import org.orioleferry.scheduler.callers.JobApi
import org.orioleferry.scheduler.callers.LookupResult
import org.orioleferry.scheduler.callers.SubmitResult
import org.orioleferry.scheduler.model.JobSpec
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.Manifest
import org.orioleferry.scheduler.model.Queue
import org.orioleferry.scheduler.model.Resources
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.model.Workspace
import org.orioleferry.scheduler.owner.Election
import org.orioleferry.scheduler.owner.OwnerDependencies
import org.orioleferry.scheduler.owner.runOwnerTerm
import org.orioleferry.scheduler.store.StoreHealth
import org.orioleferry.scheduler.workers.AdviceResult
import org.orioleferry.scheduler.workers.DirectoryResult
import org.orioleferry.scheduler.workers.ListedWorker
import org.orioleferry.scheduler.workers.RenewalResult
import org.orioleferry.scheduler.workers.RunId
import org.orioleferry.scheduler.workers.StartOrder
import org.orioleferry.scheduler.workers.StartRefusal
import org.orioleferry.scheduler.workers.StartResult
import org.orioleferry.scheduler.workers.StepId
import org.orioleferry.scheduler.workers.StopResult
import org.orioleferry.scheduler.workers.TaskId
import org.orioleferry.scheduler.workers.WorkerDirectory
import org.orioleferry.scheduler.workers.WorkerLink
import kotlin.coroutines.ContinuationInterceptor

/** Clock that follows the virtual time of a test. */
@OptIn(ExperimentalCoroutinesApi::class)
class VirtualClock(
    private val scope: TestScope,
) : Clock {
    override fun monotonicMs(): Long = scope.currentTime

    override fun wallMs(): Long = EPOCH_MS + scope.currentTime

    companion object {
        const val EPOCH_MS = 1_700_000_000_000L
    }
}

/** Simulated cluster of instances, one store and workers, in virtual time. */
class SimulatedCluster(
    private val scope: TestScope,
    workers: Int = 4,
    outcomeOf: (TaskId, Int) -> Outcome = { _, _ -> Outcome(1_000) },
) {
    val clock = VirtualClock(scope)
    val rows = SimulatedRows().also { it.nowMs = clock::monotonicMs }
    val records = RunRecords()
    private val background: CoroutineScope = scope.backgroundScope
    private val steps = HashMap<String, List<StepSpec>>()
    private val gangs =
        SimulatedGangs { task ->
            steps[task.job]?.getOrNull(task.step)?.takeIf { it.isGang }?.count ?: 0
        }
    val workers =
        List(workers) {
            SimulatedWorker("w$it", "r${it / 2}", WORKER_CAPACITY, background, clock, records, gangs, outcomeOf)
        }.associateBy { it.id }

    /** Events that the instances have logged. */
    val events = ArrayList<SchedulerEvent>()
    private val log = DecisionLog { event, _, _ -> events += event }
    val deregisteredWorkers = HashSet<String>()

    /** Settings of the instances that are created from now on for decisions by cost, or null. */
    var shortage: ShortageSettings? = null

    /** Replaces each worker that a run crashes by one of [spares], which has another id and the same address. */
    fun replaceCrashedWorkers(spares: List<String>) {
        val left = ArrayDeque(spares)
        deregisteredWorkers += spares
        workers.values.forEach { worker -> worker.onDeadlyRun = { replaceLater(worker, left) } }
    }

    private fun replaceLater(
        worker: SimulatedWorker,
        spares: ArrayDeque<String>,
    ) {
        worker.crash()
        worker.isDown = true
        background.launch {
            delay(worker.restartMs)
            worker.isDown = false
            worker.isReplaced = true
            deregisteredWorkers += worker.id
            spares.removeFirstOrNull()?.let { deregisteredWorkers -= it }
        }
    }

    /** Workers among [deregisteredWorkers] that have deleted their own entry. */
    val departedWorkers = HashSet<String>()

    /** Answer of the simulated advice service. */
    var advice: (StepId, List<String>) -> AdviceResult = { _, _ -> AdviceResult.Unavailable("none") }
    var manifest =
        Manifest(
            version = 1,
            queues =
                listOf(
                    Queue("urgent", "host", "/urgent/", "pool", 0, 3, 1.5, 250, 3_000, isPublic = false),
                    Queue("routine", "host", "/routine/", "pool", 2, 3, 3.0, 3_000, 3_000, isPublic = false),
                ),
            workspaces = listOf(Workspace("team", setOf("key"), 8)),
            maxBodyBytes = 10_000,
        )

    /** One entry instance. */
    inner class Instance(
        val name: String,
        candidateDelayMs: Long = 0,
    ) {
        private val health = StoreHealth(name, clock, NO_LOG)
        val store = SimulatedStore(rows, health)
        private val settings = SchedulerSettings(name, "dc", candidateDelayMs = candidateDelayMs, shortage = shortage)
        val link = Link()
        private val dependencies =
            OwnerDependencies(
                store,
                link,
                { Directory(this) },
                { manifest },
                clock,
                settings,
                log,
            ) { step, asked, _ ->
                advice(step, asked)
            }
        val election = Election(store, clock, settings, NO_LOG) { runOwnerTerm(dependencies, it) }
        val jobApi = JobApi(store, clock, NO_LOG, settings, election::isSaturated) { health.isUnavailable }
        private var work: Job? = null

        /** Runs the coroutines of this instance; pausing it suspends the process. */
        val process = PausableDispatcher(background.coroutineContext[ContinuationInterceptor] as CoroutineDispatcher)

        /** Starts taking part in the election. A running incarnation of the instance is stopped first. */
        fun start() {
            work?.cancel()
            work = background.launch(process) { election.run() }
        }

        fun kill() {
            work?.cancel()
        }

        val isOwner: Boolean get() = election.current != null
    }

    /** Connections of one instance to the workers. */
    inner class Link : WorkerLink {
        var isPartitioned = false

        /** Ids of the workers that this instance cannot reach. */
        val unreachableWorkers = HashSet<String>()

        /** Whether answers to lease renewals are dropped. */
        var dropsRenewalAnswers = false

        /** Time for which the answers to lease renewals are under way, ms. */
        var renewalAnswerMs = 0L

        /** Further time for which an answer is under way, by what it lists, ms. */
        var answerDelayMs: (RenewalResult) -> Long = { 0 }

        /** Time for which stop orders are under way, ms. */
        var stopDelayMs = 0L

        /** Time for which a call occupies the instance, which handles one after another, ms. */
        var callCostMs = 0L
        private var occupiedUntilMs = 0L

        /** Number of calls made so far. */
        var callCount = 0
            private set

        /** Called before each start; a test may delay or drop it. */
        var onStart: suspend (StartOrder) -> Unit = {}

        override suspend fun renewLeases(
            worker: ListedWorker,
            fence: Long,
            lastSeen: Long,
            deadlineMs: Long?,
            waitMs: Int,
        ): RenewalResult {
            val target = reach(worker, waitMs) ?: return RenewalResult.Unreachable("cut off")
            if (target.isDown) return RenewalResult.Unreachable("refused", isClosed = true)
            if (target.isReplaced) return RenewalResult.OtherIncarnation
            if (target.refusesCall()) return RenewalResult.Unreachable("status 503")
            val result =
                occupying { target.renewLeases(fence, lastSeen, deadlineMs, waitMs) }
                    ?: return RenewalResult.Unreachable("no answer in time")
            if (target.isDown) return RenewalResult.Unreachable("closed", isClosed = true)
            delay(renewalAnswerMs + answerDelayMs(result))
            return if (dropsRenewalAnswers || reach(worker) == null) RenewalResult.Unreachable("cut off") else result
        }

        override suspend fun start(
            worker: ListedWorker,
            order: StartOrder,
        ): StartResult {
            onStart(order)
            val target = reach(worker) ?: return StartResult.Unknown("cut off")
            if (target.isDown) return StartResult.Unknown("refused")
            if (target.isReplaced) return StartResult.Refused(StartRefusal.OTHER_LIFE)
            if (target.refusesCall()) return StartResult.Refused(StartRefusal.UNHEALTHY)
            val result = occupying { target.start(order) } ?: return StartResult.Unknown("no answer in time")
            return result.also { if (it is StartResult.Unknown) delay(LOST_CALL_DELAY_MS) }
        }

        override suspend fun stop(
            worker: ListedWorker,
            run: RunId,
            fence: Long,
        ): StopResult {
            delay(stopDelayMs)
            val target = reach(worker)?.takeIf { !it.isDown } ?: return StopResult.UNKNOWN
            if (target.isReplaced) return StopResult.OTHER_LIFE
            if (target.refusesCall()) return StopResult.UNKNOWN
            return occupying { target.stop(run, fence) } ?: StopResult.UNKNOWN
        }

        /** Makes [call] after the calls before it; returns null, and makes it late, if that exceeds its time limit. */
        private suspend fun <T : Any> occupying(call: suspend () -> T): T? {
            callCount++
            occupiedUntilMs = maxOf(occupiedUntilMs, clock.monotonicMs()) + callCostMs
            val waitMs = occupiedUntilMs - clock.monotonicMs()
            if (waitMs > LOST_CALL_DELAY_MS) {
                background.launch {
                    delay(waitMs)
                    call()
                }
                delay(LOST_CALL_DELAY_MS)
                return null
            }
            delay(waitMs)
            return call()
        }

        /** Returns the worker, or null after the time limit of a call for whose answer the worker may wait [waitMs]. */
        private suspend fun reach(
            worker: ListedWorker,
            waitMs: Int = 0,
        ): SimulatedWorker? {
            delay(1)
            val target = workers.getValue(worker.id)
            if (!isPartitioned && worker.id !in unreachableWorkers && target.isReachable) return target
            delay(waitMs + LOST_CALL_DELAY_MS)
            return null
        }
    }

    private inner class Directory(
        private val instance: Instance,
    ) : WorkerDirectory {
        private val reportedDepartures = HashSet<String>()

        override suspend fun refresh(): DirectoryResult {
            delay(5)
            if (instance.store.isUnavailable) return DirectoryResult.Unavailable("away")
            return DirectoryResult.Listed(
                workers.values
                    .filter { it.id !in deregisteredWorkers }
                    .map { it.listed() }
                    .associateBy { it.id },
                departedWorkers.filterTo(HashSet()) { reportedDepartures.add(it) },
            )
        }
    }

    suspend fun submit(
        instance: Instance,
        id: String,
        queue: String,
        vararg steps: StepSpec,
    ): SubmitResult {
        this.steps[id] = steps.toList()
        val policy = manifest.queue(queue)?.policy
        val job = JobSpec(id, queue, "pool", "team", "payload", steps.toList(), policy = policy)
        return instance.jobApi.submit(job, 2_000)
    }

    suspend fun stateOf(
        instance: Instance,
        id: String,
    ): JobState? = (instance.jobApi.state(id, "team") as? LookupResult.Found)?.value

    companion object {
        val WORKER_CAPACITY = Resources(32_000, 128_000, 8)
        val ONE_ACCELERATOR = Resources(1_000, 1_000, 1)
        const val LOST_CALL_DELAY_MS = 700L
        val NO_LOG = DecisionLog { _, _, _ -> }
    }
}
