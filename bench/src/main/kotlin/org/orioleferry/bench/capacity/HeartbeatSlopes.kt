package org.orioleferry.bench.capacity

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.orioleferry.coordination.peer.ClassLoad
import org.orioleferry.coordination.peer.Heartbeat
import org.orioleferry.coordination.peer.PeerAddress
import org.orioleferry.coordination.peer.SocketPeerNetwork
import org.orioleferry.core.SystemClock
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.JobClassName
import kotlin.random.Random

/** Instances that receive the heartbeats; [arrivals] gets one element for each message received by any of them. */
private class Receivers(
    val ids: Set<InstanceId>,
    val arrivals: Channel<Unit>,
)

/** Measures bytes and processor time of heartbeats over loopback sockets. */
internal object HeartbeatSlopes {
    suspend fun measure(): List<Slope> {
        val byPeers = listOf(2, 5, 10).map { Point(it.toDouble(), measureBytes(it, heartbeat(1, JOB_CLASSES))) }
        val byDataCentres = listOf(0, 1, 2, 5).map { Point(it.toDouble(), measureBytes(1, heartbeat(it, JOB_CLASSES))) }
        val byClasses = listOf(0, 1, 2, 3, 6).map { Point(it.toDouble(), measureBytes(1, heartbeat(1, it))) }
        withNetworks(1) { sender, receivers -> send(sender, receivers, heartbeat(1, JOB_CLASSES), WARM_UP_ROUNDS) }
        val times = listOf(1_000, 2_000, 4_000, 8_000).map { Point(it.toDouble(), measureProcessorMs(it)) }
        return listOf(
            slopeOf(SlopeKey.HEARTBEAT_PEER, byPeers),
            slopeOf(SlopeKey.HEARTBEAT_DATA_CENTRE, byDataCentres),
            slopeOf(SlopeKey.HEARTBEAT_CLASS, byClasses),
            slopeOf(SlopeKey.PROCESSOR_HEARTBEAT, times),
        )
    }

    private fun heartbeat(
        dataCentres: Int,
        classes: Int,
    ) = Heartbeat(
        Fixture.dataCentre,
        noteVersion = NOTE_VERSION,
        owned = (0 until dataCentres).associate { DataCentre("kalamata-$it") to Epoch(EPOCH) },
        load = (0 until classes).associate { JobClassName("shed-credit$it") to ClassLoad(40, 300, 900) },
    )

    /** Measures the bytes that one instance sends in a round of heartbeats to [peers] peers. */
    private suspend fun measureBytes(
        peers: Int,
        heartbeat: Heartbeat,
    ): Double {
        var result = 0.0
        withNetworks(peers) { sender, receivers ->
            val before = sender.counters.bytesSent
            send(sender, receivers, heartbeat, MEASURED_ROUNDS)
            result = (sender.counters.bytesSent - before) / MEASURED_ROUNDS.toDouble()
        }
        return result
    }

    private suspend fun measureProcessorMs(count: Int): Double {
        var result = 0.0
        withNetworks(1) { sender, receivers ->
            result = processorMsOf { send(sender, receivers, heartbeat(1, JOB_CLASSES), count) }
        }
        return result
    }

    /** Sends [rounds] rounds, each after the previous one has arrived, so that no send queue overflows and drops. */
    private suspend fun send(
        sender: SocketPeerNetwork,
        receivers: Receivers,
        heartbeat: Heartbeat,
        rounds: Int,
    ) {
        repeat(rounds) {
            receivers.ids.forEach { sender.send(it, heartbeat) }
            repeat(receivers.ids.size) { receivers.arrivals.receive() }
        }
    }

    private suspend fun withNetworks(
        peers: Int,
        block: suspend (SocketPeerNetwork, Receivers) -> Unit,
    ) {
        val job = Job()
        val scope = CoroutineScope(Dispatchers.Default + job)
        val sender = SocketPeerNetwork(Fixture.instance, SystemClock.wallMs(), Random(0))
        sender.start(scope, PeerAddress(LOOPBACK, 0))
        val receivers =
            (0 until peers).associate {
                val id = InstanceId("entry-${it + 2}")
                id to SocketPeerNetwork(id, SystemClock.wallMs(), Random(it))
            }
        sender.connectTo(receivers.mapValues { it.value.start(scope, PeerAddress(LOOPBACK, 0)) })
        await("connecting $peers peers") { sender.counters.connectionsOpened >= peers }
        val arrivals = Channel<Unit>(Channel.UNLIMITED)
        receivers.values.forEach { scope.launch { it.messages.collect { arrivals.send(Unit) } } }
        delay(CONNECT_SETTLE_MS)
        try {
            block(sender, Receivers(receivers.keys, arrivals))
        } finally {
            job.cancelAndJoin()
        }
    }

    // Number of job classes whose load membership sends in each heartbeat.
    private const val JOB_CLASSES = 3
    private const val NOTE_VERSION = 2_900L
    private const val EPOCH = 120L
    private const val MEASURED_ROUNDS = 50
    private const val WARM_UP_ROUNDS = 4_000
    private const val CONNECT_SETTLE_MS = 300L
    private const val LOOPBACK = "127.0.0.1"
}
