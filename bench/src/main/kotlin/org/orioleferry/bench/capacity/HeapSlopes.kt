package org.orioleferry.bench.capacity

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableSharedFlow
import kotlinx.coroutines.launch
import org.orioleferry.coordination.membership.InstanceListWatcher
import org.orioleferry.coordination.peer.PeerAddress
import org.orioleferry.coordination.peer.PeerMessage
import org.orioleferry.coordination.peer.PeerNetwork
import org.orioleferry.coordination.peer.ReceivedMessage
import org.orioleferry.coordination.upstream.ObservedUpstreams
import org.orioleferry.coordination.upstream.UpstreamEvidence
import org.orioleferry.core.SystemClock
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Definitions
import org.orioleferry.core.model.Guarantee
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.Quota
import org.orioleferry.core.model.ReleaseNote
import org.orioleferry.core.model.Workspace
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.notes.foldNote
import org.orioleferry.core.sharing.FairScheduler
import org.orioleferry.core.sharing.Offer
import org.orioleferry.platform.ListedInstance
import org.orioleferry.platform.ReadResult
import org.orioleferry.standins.InMemoryTableService
import kotlin.random.Random

/** Peer network without peers, which delivers no message. */
internal object NoPeers : PeerNetwork {
    override val messages = MutableSharedFlow<ReceivedMessage>()

    override fun connectTo(peers: Map<InstanceId, PeerAddress>) = Unit

    override fun send(
        to: InstanceId,
        message: PeerMessage,
    ): Boolean = false
}

/** Measures the live heap of a daemon's state as the difference before and after the state is released. */
internal object HeapSlopes {
    suspend fun measure(): List<Slope> {
        heapOfWorkers(WARM_UP_WORKERS)
        return listOf(
            slope(SlopeKey.HEAP_WORKER, listOf(97, 388, 970)) { heapOfWorkers(it) },
            slope(SlopeKey.HEAP_TASK, listOf(100, 400, 1_600)) { heapOfJobs(JOBS, it / JOBS) },
            slope(SlopeKey.HEAP_RUNNING_JOB, listOf(100, 400, 800)) { heapOfJobs(it, 1) },
            slope(SlopeKey.HEAP_WAITING_JOB, listOf(100, 400, 800)) { heapOfWaitingJobs(it) },
            slope(SlopeKey.HEAP_WORKSPACE, listOf(65, 130, 260)) { count -> heapOf { workspaces(count) } },
            slope(SlopeKey.HEAP_CALLER, listOf(250, 500, 1_000)) { count -> heapOf { callers(count) } },
            slope(SlopeKey.HEAP_NOTE, listOf(64, 128, 256)) { count -> heapOf { List(count, NoteSample::committed) } },
        )
    }

    private suspend fun slope(
        key: SlopeKey,
        sizes: List<Int>,
        bytes: suspend (Int) -> Long,
    ) = slopeOf(key, sizes.map { Point(it.toDouble(), bytes(it).toDouble()) })

    /** Measures the directory of the workers and the owner's claims on them. */
    private suspend fun heapOfWorkers(count: Int): Long {
        val entries =
            List(count) {
                val url = "http://127.0.${it / SUBNET_SIZE}.${it % SUBNET_SIZE}:7001/workers/w%04d".format(it)
                val rack = "rack-${it / RACK_SIZE}"
                val id = "w%04d".format(it)
                ListedInstance(id, ListedInstance.KIND_WORKER, Fixture.dataCentre.value, rack, url)
            }
        val job = Job()
        val watcher = InstanceListWatcher({ ReadResult.Found(entries.map { it.copy() }) }, Random(1), SystemClock)
        val directory =
            ObservedUpstreams(Fixture.instance, watcher, NoPeers, { setOf(Fixture.instance) }, SystemClock) {
                UpstreamEvidence.ANSWERED
            }
        CoroutineScope(Dispatchers.Default + job).launch { directory.run() }
        watcher.readOnce()
        await("reading the list") { directory.snapshot().size == count }
        return ReleasableValue(Pair(directory, JobHost.start(InMemoryTableService(), directory)))
            .also { delay(CLAIM_SETTLE_MS) }
            .releaseAndMeasure {
                it.second.stop()
                job.cancelAndJoin()
            }
    }

    private suspend fun heapOfJobs(
        count: Int,
        tasksPerJob: Int,
    ): Long {
        val calls = WorkerCalls()
        val holder = ReleasableValue(JobHost.start(InMemoryTableService(), Fixture.directory(FLEET_WORKERS), calls))
        holder.get().submit(count, tasksPerJob)
        await("starting $count jobs") { calls.starts.get() == count.toLong() * tasksPerJob }
        delay(START_SETTLE_MS)
        return holder.releaseAndMeasure { it.stop() }
    }

    private suspend fun heapOfWaitingJobs(count: Int): Long {
        val holder = ReleasableValue(JobHost.start(InMemoryTableService(), Fixture.directory(1)))
        holder.get().submit(count, 2, StatelessWorker.ACCELERATORS)
        delay(SETTLE_MS)
        return holder.releaseAndMeasure { it.stop() }
    }

    private suspend fun heapOf(build: () -> Any): Long = ReleasableValue(build()).releaseAndMeasure { }

    private fun workspaces(count: Int): Configuration =
        (0 until count).fold(Configuration()) { configuration, index ->
            val dataCentres = List(DATA_CENTRES) { DataCentre("site-$it-$index") }
            val workspace =
                Workspace(
                    WorkspaceName("team-$index"),
                    guarantees = dataCentres.map { Guarantee(it, 1, StatelessWorker.ACCELERATORS) },
                    quotas = dataCentres.map { Quota(it, QUOTA_ACCELERATORS) },
                )
            foldNote(configuration, ReleaseNote("note-$index", add = Definitions(listOf(workspace))))
        }

    private fun callers(count: Int): FairScheduler<Any> {
        val scheduler = FairScheduler<Any>(count * 2, 1)
        val jobClass = JobClass(Fixture.routine)
        repeat(count) {
            val workspace = Workspace(WorkspaceName("team-${it % TEAMS}"))
            val offer = scheduler.offer(jobClass, workspace, "caller-$it", Long.MAX_VALUE / 2, Any(), 0)
            check(offer is Offer.Queued) { "a request was not queued: $offer" }
        }
        return scheduler
    }

    private const val WARM_UP_WORKERS = 32
    private const val JOBS = 100
    private const val FLEET_WORKERS = 400
    private const val RACK_SIZE = 6
    private const val SUBNET_SIZE = 250
    private const val DATA_CENTRES = 5
    private const val QUOTA_ACCELERATORS = 32
    private const val TEAMS = 26
    private const val CLAIM_SETTLE_MS = 1_500L
    private const val SETTLE_MS = 500L

    // Newly started gangs are renewed every 200 ms; the renewal period grows with the age of the run.
    private const val START_SETTLE_MS = 3_000L
}
