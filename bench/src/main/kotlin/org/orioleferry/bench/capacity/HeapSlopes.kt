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

/** Peer network without peers. */
internal object NoPeers : PeerNetwork {
    override val messages = MutableSharedFlow<ReceivedMessage>()

    override fun connectTo(peers: Map<InstanceId, PeerAddress>) = Unit

    override fun send(
        to: InstanceId,
        message: PeerMessage,
    ): Boolean = false
}

/** Live heap of a daemon's state, read with the state and after it was let go. */
internal object HeapSlopes {
    suspend fun measure(): List<Slope> {
        workers(WARM_UP)
        return listOf(
            slope(SlopeKey.HEAP_WORKER, listOf(97, 388, 970)) { workers(it) },
            slope(SlopeKey.HEAP_TASK, listOf(100, 400, 1_600)) { jobs(JOBS, it / JOBS) },
            slope(SlopeKey.HEAP_RUNNING_JOB, listOf(100, 400, 800)) { jobs(it, 1) },
            slope(SlopeKey.HEAP_WAITING_JOB, listOf(100, 400, 800)) { waiting(it) },
            slope(SlopeKey.HEAP_WORKSPACE, listOf(65, 130, 260)) { count -> built { workspaces(count) } },
            slope(SlopeKey.HEAP_CALLER, listOf(250, 500, 1_000)) { count -> built { callers(count) } },
            slope(SlopeKey.HEAP_NOTE, listOf(64, 128, 256)) { count -> built { List(count, NoteSample::committed) } },
        )
    }

    private suspend fun slope(
        key: SlopeKey,
        sizes: List<Int>,
        bytes: suspend (Int) -> Long,
    ) = slopeOf(key, sizes.map { Point(it.toDouble(), bytes(it).toDouble()) })

    /** The directory of the workers and the owner's claims on them. */
    private suspend fun workers(count: Int): Long {
        val entries =
            List(count) {
                val url = "http://127.0.${it / SUBNET}.${it % SUBNET}:7001/workers/w%04d".format(it)
                val rack = "rack-${it / RACK}"
                val id = "w%04d".format(it)
                ListedInstance(id, ListedInstance.KIND_WORKER, Sample.domain.value, rack, url)
            }
        val job = Job()
        val watcher = InstanceListWatcher({ ReadResult.Found(entries.map { it.copy() }) }, Random(1), SystemClock)
        val directory =
            ObservedUpstreams(Sample.instance, watcher, NoPeers, { setOf(Sample.instance) }, SystemClock) {
                UpstreamEvidence.ANSWERED
            }
        CoroutineScope(Dispatchers.Default + job).launch { directory.run() }
        watcher.step()
        await("reading the list") { directory.snapshot().size == count }
        return Holder(Pair(directory, JobHost.start(InMemoryTableService(), directory)))
            .also { delay(CLAIM_MS) }
            .release {
                it.second.stop()
                job.cancelAndJoin()
            }
    }

    private suspend fun jobs(
        count: Int,
        members: Int,
    ): Long {
        val calls = WorkerCalls()
        val holder = Holder(JobHost.start(InMemoryTableService(), Sample.directory(FLEET), calls))
        holder.get().submit(count, members)
        await("starting $count jobs") { calls.starts.get() == count.toLong() * members }
        delay(START_SETTLE_MS)
        return holder.release { it.stop() }
    }

    private suspend fun waiting(count: Int): Long {
        val holder = Holder(JobHost.start(InMemoryTableService(), Sample.directory(1)))
        holder.get().submit(count, 2, StatelessWorker.ACCELERATORS)
        delay(SETTLE_MS)
        return holder.release { it.stop() }
    }

    private suspend fun built(build: () -> Any): Long = Holder(build()).release { }

    private fun workspaces(count: Int): Configuration =
        (0 until count).fold(Configuration()) { configuration, index ->
            val sites = List(SITES) { DataCentre("site-$it-$index") }
            val workspace =
                Workspace(
                    WorkspaceName("team-$index"),
                    guarantees = sites.map { Guarantee(it, 1, StatelessWorker.ACCELERATORS) },
                    quotas = sites.map { Quota(it, QUOTA) },
                )
            foldNote(configuration, ReleaseNote("note-$index", add = Definitions(listOf(workspace))))
        }

    private fun callers(count: Int): FairScheduler<Any> {
        val scheduler = FairScheduler<Any>(count * 2, 1)
        val jobClass = JobClass(Sample.routine)
        repeat(count) {
            val workspace = Workspace(WorkspaceName("team-${it % TEAMS}"))
            val offer = scheduler.offer(jobClass, workspace, "caller-$it", Long.MAX_VALUE / 2, Any(), 0)
            check(offer is Offer.Queued) { "a request was not queued: $offer" }
        }
        return scheduler
    }

    private const val WARM_UP = 32
    private const val JOBS = 100
    private const val FLEET = 400
    private const val RACK = 6
    private const val SUBNET = 250
    private const val SITES = 5
    private const val QUOTA = 32
    private const val TEAMS = 26
    private const val CLAIM_MS = 1_500L
    private const val SETTLE_MS = 500L

    // New gangs are renewed every 200 ms; older ones rest for longer between two renewals.
    private const val START_SETTLE_MS = 3_000L
}
