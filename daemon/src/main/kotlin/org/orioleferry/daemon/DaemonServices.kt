package org.orioleferry.daemon

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.orioleferry.coordination.membership.InstanceListWatcher
import org.orioleferry.coordination.membership.ListSettings
import org.orioleferry.coordination.membership.Membership
import org.orioleferry.coordination.membership.MembershipSettings
import org.orioleferry.coordination.membership.rendezvousOrder
import org.orioleferry.coordination.notes.NoteDistribution
import org.orioleferry.coordination.notes.NoteInstance
import org.orioleferry.coordination.notes.NoteSettings
import org.orioleferry.coordination.ownership.OwnershipCandidate
import org.orioleferry.coordination.ownership.OwnershipManager
import org.orioleferry.coordination.ownership.OwnershipSettings
import org.orioleferry.coordination.peer.Heartbeat
import org.orioleferry.coordination.peer.JobHint
import org.orioleferry.coordination.peer.LamportClock
import org.orioleferry.coordination.peer.PeerSettings
import org.orioleferry.coordination.peer.SocketPeerNetwork
import org.orioleferry.coordination.store.CircuitBreakerTableService
import org.orioleferry.coordination.upstream.ObservedUpstreams
import org.orioleferry.coordination.upstream.Upstream
import org.orioleferry.coordination.upstream.UpstreamEvidence
import org.orioleferry.core.Clock
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.LateList
import org.orioleferry.core.api.NoteAccepted
import org.orioleferry.core.event.EventSink
import org.orioleferry.core.map
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.ReleaseNote
import org.orioleferry.core.notes.NoteLimits
import org.orioleferry.core.settings.DaemonSettings
import org.orioleferry.daemon.event.EventLog
import org.orioleferry.daemon.jobs.JobDependencies
import org.orioleferry.daemon.jobs.JobService
import org.orioleferry.daemon.jobs.JobSettings
import org.orioleferry.daemon.notes.NoteAdmission
import org.orioleferry.daemon.requests.RequestPeers
import org.orioleferry.daemon.requests.RequestService
import org.orioleferry.daemon.requests.RequestSettings
import org.orioleferry.platform.ListedInstance
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.WorkerClient
import org.orioleferry.platform.WorkerClientProvider
import org.orioleferry.platform.http.HttpInstanceList
import org.orioleferry.platform.http.HttpTableService
import org.orioleferry.platform.http.HttpTransport
import org.orioleferry.platform.http.HttpWorkerClient
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Creates the services of a daemon from its settings and connects them. */
internal class DaemonServices(
    private val settings: DaemonSettings,
    private val clock: Clock,
) : AutoCloseable {
    private val random = Random(System.nanoTime())
    private val self = settings.instance.id
    private val incarnation = clock.wallMs()
    private val transport = HttpTransport()
    private val clients = ConcurrentHashMap<String, WorkerClient>()
    private val workerClients: WorkerClientProvider =
        { url -> clients.computeIfAbsent(url) { HttpWorkerClient(it, settings.platform.deadlineMs, transport) } }

    val metrics = Metrics()
    val events = EventLog(self.value, clock, settings.events.bufferSize, metrics::count)
    private val sink: EventSink = events::record

    @Volatile
    var isDraining: Boolean = false

    private val store =
        CircuitBreakerTableService(
            HttpTableService(settings.platform.baseUrl, settings.platform.deadlineMs, transport),
            clock,
            random,
            events = sink,
        )
    val network =
        SocketPeerNetwork(
            self,
            incarnation,
            random,
            PeerSettings(
                progressDeadlineMs = settings.peers.progressMs,
                maxFrameBytes = settings.peers.maxFrameBytes,
            ),
            LamportClock(events::logicalTime, events::advanceLogicalTime),
        )
    private val instanceList =
        InstanceListWatcher(
            HttpInstanceList(settings.platform.baseUrl, settings.platform.deadlineMs, transport),
            random,
            clock,
            ListSettings(minPeriodMs = settings.membership.listPullMs),
        )
    val membership: Membership =
        Membership(
            self,
            instanceList,
            network,
            clock,
            random,
            MembershipSettings(
                heartbeatMs = settings.membership.heartbeatMs,
                suspectMs = settings.membership.suspectMs,
                deadMs = settings.membership.deadMs,
                slowObserverMs = settings.membership.selfLateMs,
            ),
            sink,
            ::heartbeat,
        )
    private val upstreams =
        ObservedUpstreams(self, instanceList, network, membership::candidates, clock, events = sink, probe = ::probe)
    private val admission = NoteAdmission()
    val notes: NoteDistribution =
        NoteDistribution(
            NoteInstance(self, settings.instance.dataCentre),
            store,
            network,
            membership,
            clock,
            random,
            NoteSettings(pullMs = settings.notes.pullMs),
            { NoteLimits(settings.longestDeadlineMs) },
            admission::problems,
            sink,
        )
    val ownership: OwnershipManager =
        OwnershipManager(
            OwnershipCandidate(self, incarnation),
            settings.domains,
            store,
            clock,
            random,
            membership::candidates,
            OwnershipSettings(
                ttlMs = settings.ownership.ttlMs,
                renewMs = settings.ownership.renewMs,
                standbyReadMs = settings.ownership.otherStandbyReadMs,
                rankDelayMs = settings.ownership.rankDelayMs,
            ),
            sink,
        )
    val requests: RequestService =
        RequestService(
            store,
            upstreams,
            workerClients,
            { notes.configuration.value },
            clock,
            sink,
            requestSettings(),
            RequestPeers(
                liveInstances = membership::candidates,
                selectHandler = { key, candidates -> rendezvousOrder(key, candidates).first() },
                loads = { membership.members().map { it.classLoads() } },
            ),
        )
    val jobs: JobService =
        JobService(
            JobDependencies(
                tables = store,
                upstreams = upstreams,
                ownership = ownership,
                workers = workerClients,
                configuration = { notes.configuration.value },
                clock = clock,
                events = sink,
                sendHint = ::sendHint,
                settings =
                    JobSettings(
                        taskLeaseTtlMs = settings.jobs.taskLeaseTtlMs,
                        reclaimGraceMs = settings.jobs.reclaimGraceMs,
                        inboxPeriodMs = settings.jobs.scanMs,
                    ),
                newSuffix = { UUID.randomUUID().toString() },
            ),
        )

    /** Commits a release note unless its guarantees exceed the capacity of the live workers. */
    suspend fun commit(note: ReleaseNote): Outcome<NoteAccepted> = admission.admit(note, jobs::fleets, notes::commit)

    /** Jobs and requests that are late, lost or of unknown outcome. */
    suspend fun late(): Outcome<LateList> = jobs.late().map { LateList(it.items + requests.unknownOutcomes()) }

    /** Whether the load balancer may send requests to this instance. */
    fun isReady(): Boolean = notes.isReady.value && !isDraining

    /** Binds the metrics and starts all background tasks. */
    fun startControllers(scope: CoroutineScope) {
        bindMetrics()
        scope.launch { instanceList.run() }
        scope.launch { membership.run() }
        scope.launch { upstreams.run() }
        scope.launch { notes.run() }
        scope.launch { ownership.run() }
        scope.launch { requests.run() }
        scope.launch { jobs.run() }
        scope.launch { receiveHints() }
    }

    private fun bindMetrics() {
        metrics.gauge("orioleferry.platform.calls") { transport.traffic.calls.toDouble() }
        metrics.gauge("orioleferry.platform.sent.bytes") { transport.traffic.bytesSent.toDouble() }
        metrics.gauge("orioleferry.platform.received.bytes") { transport.traffic.bytesReceived.toDouble() }
        metrics.gauge("orioleferry.peers.sent.bytes") { network.counters.bytesSent.toDouble() }
        metrics.gauge("orioleferry.peers.received.bytes") { network.counters.bytesReceived.toDouble() }
        metrics.gauge("orioleferry.peers.unknown.kinds") { network.counters.unknownKinds.toDouble() }
        metrics.gauge("orioleferry.notes.version") {
            notes.configuration.value.version
                .toDouble()
        }
        metrics.gauge("orioleferry.owned.domains") { ownership.owned().size.toDouble() }
    }

    override fun close() {
        transport.close()
    }

    private fun heartbeat(): Heartbeat {
        val report = upstreams.reportForPeers()
        return Heartbeat(
            dataCentre = settings.instance.dataCentre,
            noteVersion = notes.heartbeatVersion,
            owned = ownership.owned(),
            leavingUpstreams = report.leaving,
            load = requests.classLoads().toWire(),
            unreachableUpstreams = report.unreachable,
            isLeaving = isDraining,
        )
    }

    private suspend fun probe(upstream: Upstream): UpstreamEvidence =
        when (val result = workerClients(upstream.baseUrl).status()) {
            is ReadResult.Unavailable -> UpstreamEvidence.UNREACHABLE
            is ReadResult.Found -> {
                val isLeaving = result.value.state == ListedInstance.STATE_LEAVING
                if (isLeaving) UpstreamEvidence.LEAVING else UpstreamEvidence.ANSWERED
            }
        }

    private suspend fun receiveHints() {
        network.messages.collect { received ->
            (received.message as? JobHint)?.let { jobs.onHint(it.jobId) }
        }
    }

    private suspend fun sendHint(job: JobId) {
        val domain = job.dataCentre
        if (domain in ownership.owned()) return jobs.onHint(job)
        val owner = membership.members().firstOrNull { domain in it.heartbeat?.owned.orEmpty() } ?: return
        network.send(owner.id, JobHint(domain, job))
    }

    private fun requestSettings() =
        RequestSettings(
            instance = self,
            maxBodyBytes = settings.requests.maxBodyBytes,
            maxQueued = settings.requests.maxQueued,
            defaultDeadlineMs = settings.requests.defaultDeadlineMs,
            storeDeadlineMs = settings.platform.deadlineMs,
            finishWriteMs = settings.requests.recordMs,
            drainRefuseAfterMs = settings.drain.refuseAfterMs,
            drainLimitMs = settings.drain.limitMs,
        )
}
