package org.orioleferry.coordination.membership

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.launch
import org.orioleferry.coordination.notes.NotePeers
import org.orioleferry.coordination.peer.ClassLoad
import org.orioleferry.coordination.peer.Heartbeat
import org.orioleferry.coordination.peer.PeerAddress
import org.orioleferry.coordination.peer.PeerNetwork
import org.orioleferry.coordination.peer.ReceivedMessage
import org.orioleferry.core.Clock
import org.orioleferry.core.api.InstanceVersion
import org.orioleferry.core.event.EventSink
import org.orioleferry.core.event.EventType
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.JobClassName
import org.orioleferry.platform.ListedInstance
import kotlin.random.Random

/**
 * Membership of the entry instances: the platform's list names the candidates, and heartbeats decide their state.
 *
 * @param heartbeat content of the next heartbeat of this instance, asked for once per heartbeat period.
 */
public class Membership(
    private val self: InstanceId,
    private val list: InstanceListWatcher,
    private val network: PeerNetwork,
    private val clock: Clock,
    private val random: Random,
    private val settings: MembershipSettings = MembershipSettings(),
    private val events: EventSink = { _, _ -> },
    private val heartbeat: () -> Heartbeat,
) : NotePeers {
    private val lock = Any()
    private val peers = sortedMapOf<String, Peer>()
    private var lastCheckMs: Long? = null
    private var hasList = false
    private var loadOffset = 0

    @Volatile
    private var isLeaving = false

    private class Peer(
        val id: InstanceId,
        var dataCentre: DataCentre,
        var lastHeardMs: Long,
    ) {
        var address: PeerAddress? = null
        var isListed = false
        var isListedLeaving = false
        var incarnation = 0L
        var sequence = 0L
        var heartbeat: Heartbeat? = null
        var state = MemberState.JOINING
        val loads = mutableMapOf<JobClassName, TimedLoad>()
    }

    private class TimedLoad(
        val load: ClassLoad,
        val receivedMs: Long,
    )

    /** Runs until cancelled. */
    public suspend fun run(): Unit =
        coroutineScope {
            launch { network.messages.collect(::onMessage) }
            launch { list.instances.filterNotNull().collect(::onList) }
            launch {
                delay(random.nextLong(settings.heartbeatMs))
                while (true) {
                    sendHeartbeats()
                    delay(settings.heartbeatMs)
                }
            }
            while (true) {
                checkPeers()
                delay(settings.checkMs)
            }
        }

    /** Announces the shutdown of this instance to the peers at once and in every later heartbeat. */
    public fun leave() {
        isLeaving = true
        sendHeartbeats()
    }

    /** All known other instances, in the order of their ids. */
    public fun members(): List<Member> =
        synchronized(lock) {
            peers.values.map { peer ->
                val loads = peer.loads.mapValues { it.value.load }
                Member(peer.id, peer.dataCentre, peer.state, peer.incarnation, peer.heartbeat, loads)
            }
        }

    /** Instances that may own a domain, this one included unless it is leaving. */
    public fun candidates(): Set<InstanceId> {
        val others = members().filter { it.state != MemberState.DEAD && it.state != MemberState.LEAVING }
        val own = if (isLeaving) emptySet() else setOf(self)
        return others.mapTo(mutableSetOf()) { it.id } + own
    }

    override fun versions(): List<InstanceVersion> =
        members()
            .filter { it.state != MemberState.DEAD }
            .mapNotNull { member ->
                member.heartbeat?.let { InstanceVersion(member.id, it.dataCentre, it.noteVersion) }
            }

    override fun hasHeardFromAll(): Boolean =
        synchronized(lock) { hasList && peers.values.none { it.state == MemberState.JOINING } }

    /** Sends one heartbeat to each peer that has a connection. */
    public fun sendHeartbeats() {
        val next = heartbeat()
        val content = next.copy(isLeaving = next.isLeaving || isLeaving, load = nextLoads(next.load))
        val targets = synchronized(lock) { peers.values.map { it.id } }
        targets.forEach { network.send(it, content) }
    }

    private fun nextLoads(all: Map<JobClassName, ClassLoad>): Map<JobClassName, ClassLoad> {
        val names = all.keys.sortedBy { it.value }
        val count = minOf(settings.loadsPerHeartbeat, names.size)
        val chosen = List(count) { names[(loadOffset + it) % names.size] }
        if (count > 0) loadOffset = (loadOffset + count) % names.size
        return chosen.associateWith(all::getValue)
    }

    /** Applies the platform's list: connects to new candidates, and keeps unlisted instances that send heartbeats. */
    internal fun onList(instances: List<ListedInstance>) {
        val entries = instances.filter { it.kind == ListedInstance.KIND_ENTRY && it.id != self.value }
        val addresses =
            synchronized(lock) {
                hasList = true
                peers.values.forEach { it.isListed = false }
                entries.forEach { entry ->
                    val peer = getOrAddPeer(InstanceId(entry.id), DataCentre(entry.dataCentre))
                    peer.address = PeerAddress.parseOrNull(entry.peerAddress) ?: peer.address
                    peer.isListed = true
                    peer.isListedLeaving = entry.state == ListedInstance.STATE_LEAVING
                }
                peers.values.mapNotNull { peer -> peer.address?.let { peer.id to it } }.toMap()
            }
        network.connectTo(addresses)
    }

    /** Applies a received heartbeat, unless it is repeated, late or of an earlier process. */
    internal fun onMessage(received: ReceivedMessage) {
        val content = received.message as? Heartbeat ?: return
        if (received.from == self) return
        val hasJoined =
            synchronized(lock) {
                val peer = getOrAddPeer(received.from, content.dataCentre)
                val isEarlierProcess = received.incarnation < peer.incarnation && peer.state != MemberState.DEAD
                val isSameProcess = received.incarnation == peer.incarnation
                if (isEarlierProcess || (isSameProcess && received.sequence <= peer.sequence)) return
                val isNew = peer.heartbeat == null || peer.state == MemberState.DEAD || !isSameProcess
                peer.incarnation = received.incarnation
                peer.sequence = received.sequence
                peer.heartbeat = content
                peer.dataCentre = content.dataCentre
                peer.lastHeardMs = clock.monotonicMs()
                if (!isSameProcess) peer.loads.clear()
                content.load.forEach { (name, load) -> peer.loads[name] = TimedLoad(load, peer.lastHeardMs) }
                peer.state = stateOf(peer, 0)
                isNew
            }
        if (hasJoined) events(EventType.PEER_JOINED, attributes(received.from))
    }

    /** Updates the state of all peers from the time since their last heartbeat. */
    internal fun checkPeers() {
        val now = clock.monotonicMs()
        val changes =
            synchronized(lock) {
                val lateMs = lastCheckMs?.let { now - it - settings.checkMs } ?: 0
                lastCheckMs = now
                if (lateMs > settings.slowObserverMs) peers.values.forEach { it.lastHeardMs += lateMs }
                peers.values.forEach { peer ->
                    peer.loads.values.removeAll { now - it.receivedMs >= settings.loadExpiryMs }
                }
                peers.values.removeAll { !it.isListed && now - it.lastHeardMs >= settings.forgetMs }
                peers.values.mapNotNull { peer ->
                    val state = stateOf(peer, now - peer.lastHeardMs)
                    val change = (peer.id to state).takeIf { state != peer.state }
                    peer.state = state
                    change
                }
            }
        changes.forEach { (id, state) ->
            if (state == MemberState.SUSPECT) events(EventType.PEER_SUSPECTED, attributes(id))
            if (state == MemberState.DEAD) events(EventType.PEER_DEAD, attributes(id))
        }
    }

    private fun stateOf(
        peer: Peer,
        silentMs: Long,
    ): MemberState =
        when {
            silentMs >= settings.deadMs -> MemberState.DEAD
            peer.heartbeat == null -> MemberState.JOINING
            peer.isListedLeaving || peer.heartbeat?.isLeaving == true -> MemberState.LEAVING
            silentMs >= settings.suspectMs -> MemberState.SUSPECT
            else -> MemberState.ALIVE
        }

    private fun getOrAddPeer(
        id: InstanceId,
        dataCentre: DataCentre,
    ): Peer = peers.getOrPut(id.value) { Peer(id, dataCentre, clock.monotonicMs()) }

    private fun attributes(id: InstanceId) = mapOf("instance" to self.value, "peer" to id.value)
}
