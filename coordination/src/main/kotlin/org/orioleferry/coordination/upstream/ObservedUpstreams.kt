package org.orioleferry.coordination.upstream

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.launch
import org.orioleferry.coordination.membership.InstanceListWatcher
import org.orioleferry.coordination.membership.rendezvousWeight
import org.orioleferry.coordination.peer.Heartbeat
import org.orioleferry.coordination.peer.PeerNetwork
import org.orioleferry.core.Clock
import org.orioleferry.core.event.EventSink
import org.orioleferry.core.event.EventType
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.WorkerId
import org.orioleferry.platform.ListedInstance

/**
 * [UpstreamDirectory] that merges the platform's list, direct evidence and peers' heartbeats.
 *
 * A listed worker is live until evidence says otherwise. Each instance probes its share of the workers by rendezvous
 * hash. Peers report what they cannot reach, and every instance decides by its own probes.
 *
 * @param liveInstances instances that share the routine probes, this one included.
 */
public class ObservedUpstreams(
    private val self: InstanceId,
    private val list: InstanceListWatcher,
    private val network: PeerNetwork,
    private val liveInstances: () -> Collection<InstanceId>,
    private val clock: Clock,
    private val settings: UpstreamSettings = UpstreamSettings(),
    private val events: EventSink = { _, _ -> },
    private val probe: UpstreamProbe,
) : UpstreamDirectory {
    private val lock = Any()
    private val records = sortedMapOf<String, UpstreamRecord>()
    private val share = ProbeShare(self)
    private var nextRoutineMs = 0L
    private var reportOffset = 0

    @Volatile
    private var published: List<Upstream> = emptyList()

    /** Follows the list and the peers' reports and probes the workers until cancelled. */
    public suspend fun run(): Unit =
        coroutineScope {
            launch { list.instances.filterNotNull().collect(::onList) }
            launch {
                network.messages.collect { received ->
                    (received.message as? Heartbeat)?.let { onPeerReport(it.leavingUpstreams, it.unreachableUpstreams) }
                }
            }
            while (true) {
                dueProbes().forEach { upstream -> launch { runProbe(upstream) } }
                delay(settings.checkMs)
            }
        }

    override fun snapshot(): List<Upstream> = published

    override fun report(
        worker: WorkerId,
        evidence: UpstreamEvidence,
    ) {
        // Evidence arrives with every request and seldom changes a state, so the snapshot is built only on a change.
        val isUnchanged =
            synchronized(lock) {
                val now = clock.monotonicMs()
                val record = records[worker.value] ?: return
                val before = record.state(now)
                apply(record, evidence, now)
                record.state(now) == before
            }
        if (!isUnchanged) update {}
    }

    /**
     * First-hand reports for the next heartbeat; the caller asks once per heartbeat.
     *
     * New reports are sent first and [REPORT_REPEATS] times; the remaining ones are refreshed a few at a time, so that
     * a data centre that leaves as a whole does not exceed the traffic limit.
     */
    public fun reportForPeers(): UpstreamReport =
        synchronized(lock) {
            val now = clock.monotonicMs()
            val (leaving, others) = records.entries.partition { it.value.isLeavingFirstHand(now) && !it.value.isDead }
            leaving.forEach { it.value.reportsSent++ }
            others.forEach { it.value.reportsSent = 0 }
            val (fresh, old) = leaving.partition { it.value.reportsSent <= REPORT_REPEATS }
            val dead = records.entries.filter { it.value.isDead }.map { WorkerId(it.key) }
            reportOffset += REFRESHED_PER_HEARTBEAT
            UpstreamReport(
                fresh.take(MAX_NEW_REPORTS).map { WorkerId(it.key) } + nextInRotation(old.map { WorkerId(it.key) }),
                nextInRotation(dead),
            )
        }

    private fun nextInRotation(workers: List<WorkerId>): List<WorkerId> =
        List(minOf(REFRESHED_PER_HEARTBEAT, workers.size)) { workers[(reportOffset + it) % workers.size] }

    /** Applies the platform's list. Evidence is kept, so that a lagging list does not make a worker live again. */
    internal fun onList(instances: List<ListedInstance>): Unit =
        update { now ->
            val workers = instances.filter { it.kind == ListedInstance.KIND_WORKER }.associateBy { it.id }
            workers.forEach { (id, entry) ->
                val record = records.getOrPut(id) { UpstreamRecord(entry, settings) }
                record.listed = entry
                record.isListed = true
            }
            records.forEach { (id, record) -> record.isListed = id in workers }
            forgetUnlisted(now)
        }

    private fun forgetUnlisted(now: Long) {
        records.values.removeAll { record ->
            val silentMs = record.answeredMs?.let { now - it } ?: Long.MAX_VALUE
            !record.isListed && silentMs >= settings.unlistedMs
        }
    }

    /** Applies the reports of a peer's heartbeat. */
    internal fun onPeerReport(
        leaving: List<WorkerId>,
        unreachable: List<WorkerId>,
    ) {
        if (leaving.isEmpty() && unreachable.isEmpty()) return
        update { now ->
            leaving.forEach { records[it.value]?.recordLeavingByPeer(now) }
            unreachable.forEach { records[it.value]?.recordUnreachableByPeer(now) }
        }
    }

    /** Workers to probe now: suspect and dead ones that are due, and the next one of this instance's share. */
    internal fun dueProbes(): List<Upstream> {
        val due = mutableListOf<UpstreamRecord>()
        update { now ->
            // The flow does not emit an unchanged list again, so workers are also removed here when their time is over.
            forgetUnlisted(now)
            share.update(records.keys, liveInstances())
            due +=
                records.values.filter { record ->
                    !record.isProbing &&
                        record.nextProbeMs.let { it != null && it <= now }
                }
            if (now >= nextRoutineMs) {
                val oldest =
                    records.entries
                        .filter { share.contains(it.key) && !it.value.isProbing && it.value.nextProbeMs == null }
                        .map { it.value }
                        .minByOrNull { it.evidenceMs ?: Long.MIN_VALUE }
                val isDue = oldest?.evidenceMs.let { it == null || now - it >= settings.routineAgeMs }
                if (oldest != null && isDue) {
                    nextRoutineMs = now + settings.probeGapMs
                    due += oldest
                }
            }
            due.forEach { it.isProbing = true }
        }
        return synchronized(lock) { due.map { toUpstream(it, clock.monotonicMs()) } }
    }

    internal suspend fun runProbe(upstream: Upstream) {
        var evidence = UpstreamEvidence.UNREACHABLE
        try {
            evidence = probe(upstream)
        } finally {
            update { now ->
                val record = records[upstream.id.value]
                record?.isProbing = false
                if (evidence ==
                    UpstreamEvidence.UNREACHABLE
                ) {
                    record?.recordProbeFailure(now)
                } else {
                    record?.let { apply(it, evidence, now) }
                }
            }
        }
    }

    private fun apply(
        record: UpstreamRecord,
        evidence: UpstreamEvidence,
        now: Long,
    ) {
        when (evidence) {
            UpstreamEvidence.ANSWERED -> record.recordAnswer(now)
            UpstreamEvidence.UNREACHABLE -> record.recordUnreachable(now)
            UpstreamEvidence.LEAVING -> {
                record.recordAnswer(now)
                record.recordLeavingFirstHand(now)
            }
            UpstreamEvidence.WORK_SUCCEEDED -> {
                record.recordAnswer(now)
                record.recordOutcome(isSuccess = true, now)
            }
            UpstreamEvidence.WORK_FAILED -> {
                record.recordAnswer(now)
                record.recordOutcome(isSuccess = false, now)
                record.quarantineIfOutlier(records.values.filter { it !== record }, now)
            }
        }
    }

    /** Applies [change] and publishes a new snapshot when a state has changed, also when only by the time passed. */
    private fun update(change: (now: Long) -> Unit) {
        val changed =
            synchronized(lock) {
                val now = clock.monotonicMs()
                change(now)
                val before = published
                val after = records.values.map { toUpstream(it, now) }
                if (after == before) return
                published = after
                val earlier = before.associate { it.id to it.state }
                after.mapNotNull { upstream -> earlier[upstream.id]?.let { it to upstream } }
            }
        changed.forEach { (earlier, upstream) -> emit(earlier, upstream) }
    }

    private fun emit(
        earlier: UpstreamState,
        upstream: Upstream,
    ) {
        if (earlier == upstream.state) return
        val type =
            when (upstream.state) {
                UpstreamState.LEAVING -> EventType.UPSTREAM_LEAVING
                UpstreamState.QUARANTINED -> EventType.UPSTREAM_QUARANTINED
                UpstreamState.DEAD -> EventType.UPSTREAM_DEAD
                UpstreamState.LIVE -> if (earlier == UpstreamState.SUSPECT) return else EventType.UPSTREAM_RESTORED
                UpstreamState.SUSPECT -> return
            }
        events(type, mapOf("worker" to upstream.id.value, "dataCentre" to upstream.dataCentre.value))
    }

    private fun toUpstream(
        record: UpstreamRecord,
        now: Long,
    ): Upstream {
        val listed = record.listed
        return Upstream(
            WorkerId(listed.id),
            DataCentre(listed.dataCentre),
            listed.rack,
            listed.address,
            record.state(now),
        )
    }

    private companion object {
        const val REPORT_REPEATS = 5
        const val MAX_NEW_REPORTS = 64
        const val REFRESHED_PER_HEARTBEAT = 4
    }
}

/** The workers that this instance probes routinely: those for which it has the greatest rendezvous weight. */
internal class ProbeShare(
    private val self: InstanceId,
) {
    private var workers = emptySet<String>()
    private var instances = emptySet<InstanceId>()
    private var own = emptySet<String>()

    fun contains(worker: String): Boolean = worker in own

    /** Recomputes the share when the set of workers or instances has changed. */
    fun update(
        newWorkers: Set<String>,
        newInstances: Collection<InstanceId>,
    ) {
        val all = newInstances.toSet() + self
        if (newWorkers == workers && all == instances) return
        workers = newWorkers.toSet()
        instances = all
        own =
            workers.filterTo(mutableSetOf()) { worker ->
                all.maxWith(compareBy({ rendezvousWeight(worker, it) }, { it.value })) == self
            }
    }
}
