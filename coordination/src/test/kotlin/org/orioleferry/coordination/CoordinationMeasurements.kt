package org.orioleferry.coordination

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.orioleferry.coordination.membership.InstanceListWatcher
import org.orioleferry.coordination.membership.Membership
import org.orioleferry.coordination.membership.rendezvousOrder
import org.orioleferry.coordination.notes.NoteCluster
import org.orioleferry.coordination.notes.note
import org.orioleferry.coordination.ownership.OwnershipState
import org.orioleferry.coordination.ownership.contenders
import org.orioleferry.coordination.peer.ClassLoad
import org.orioleferry.coordination.peer.Heartbeat
import org.orioleferry.coordination.peer.Notes
import org.orioleferry.coordination.peer.PeerAddress
import org.orioleferry.coordination.peer.PeerCounters
import org.orioleferry.coordination.peer.SocketPeerNetwork
import org.orioleferry.coordination.testing.Delivery
import org.orioleferry.core.SystemClock
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.JobClassName
import org.orioleferry.platform.ListedInstance
import org.orioleferry.platform.ReadResult
import org.orioleferry.standins.InMemoryTableService
import org.orioleferry.standins.StoreFault
import kotlin.random.Random

/** Prints the figures of the section "Coordination" of `docs/measurements.md`. */
@OptIn(ExperimentalCoroutinesApi::class)
internal object CoordinationMeasurements {
    private val domain = DataCentre("kalamata-a")
    private val classes = listOf("shed-credit", "grade-check", "weighing-slip", "audit", "forecast", "reprint")
    val fullHeartbeat =
        Heartbeat(
            domain,
            noteVersion = 2_900,
            owned = mapOf(domain to Epoch(120)),
            load = classes.associate { JobClassName(it) to ClassLoad(queued = 40, running = 300, arrivals = 900) },
        )

    /** Bytes per second that each of [count] instances sends and receives over loopback, without TCP headers. */
    fun measureHeartbeats(
        count: Int,
        heartbeat: Heartbeat,
    ): String {
        val scope = CoroutineScope(Dispatchers.Default)
        return runBlocking {
            val ids = List(count) { InstanceId("entry-$it") }
            val networks = ids.map { SocketPeerNetwork(it, SystemClock.wallMs(), Random(it.value.hashCode())) }
            val ports = networks.map { it.start(scope, PeerAddress("127.0.0.1", 0)).port }
            val entries =
                ids.mapIndexed { index, id ->
                    ListedInstance(id.value, ListedInstance.KIND_ENTRY, "a", "", "", "127.0.0.1:${ports[index]}")
                }
            networks.forEachIndexed { index, network ->
                val watcher = InstanceListWatcher({ ReadResult.Found(entries) }, Random(index), SystemClock)
                val member = Membership(ids[index], watcher, network, SystemClock, Random(index)) { heartbeat }
                scope.launch { watcher.run() }
                scope.launch { member.run() }
            }
            delay(5_000)
            val before = networks.map { it.counters }
            delay(MEASURED_MS)
            val after = networks.map { it.counters }
            scope.cancel()

            fun perSecond(total: (PeerCounters) -> Long) =
                after.indices.maxOf { (total(after[it]) - total(before[it])) * 1_000 / MEASURED_MS }
            val each = after.sumOf { it.bytesSent } / after.sumOf { it.messagesSent }
            "$count instances: $each B per message; at most ${perSecond { it.bytesSent }} B/s sent, " +
                "${perSecond { it.bytesReceived }} B/s received, ${perSecond { it.messagesSent }} messages/s"
        }
    }

    fun printStoreCalls(seed: Int) =
        runTest {
            var isDown = false
            val store = InMemoryTableService { if (isDown) StoreFault.DOWN else StoreFault.NONE }
            val all = contenders(11, store, seed)
            all.forEach { it.start(backgroundScope) }
            advanceTimeBy(20_000)
            val (reads, writes) = store.reads to store.writes
            advanceTimeBy(60_000)
            println(
                "steady, seed $seed: ${(store.reads - reads) / 60.0} reads/s, ${(store.writes - writes) / 60.0} writes/s",
            )
            isDown = true
            advanceTimeBy(30_000)
            isDown = false
            advanceTimeBy(10_000)
            val calls = (105L..119L).map { second -> all.sumOf { it.link.callsBySecond[second] ?: 0 } }
            println("calls/s by second, down until second 110: $calls")
        }

    fun measureTakeoverMs(
        seed: Int,
        killed: Int,
    ): Long {
        var tookMs = 0L
        runTest {
            val store = InMemoryTableService()
            val all = contenders(11, store, seed, listOf(domain), latencyMs = { 2 })
            all.forEach { it.start(backgroundScope) }
            advanceTimeBy(10_000 + Random(seed).nextLong(2_000))
            val owner = all.single { it.manager.ownershipOf(domain).state == OwnershipState.OWNER }
            val standbys = rendezvousOrder(domain.value, all.map { it.id } - owner.id)
            val dead = listOf(owner.id) + standbys.take(killed - 1)
            all.filter { it.id in dead }.forEach { it.job.cancel() }
            val startMs = currentTime
            val alive = all.filter { it.id !in dead }
            while (alive.none { it.manager.ownershipOf(domain).state == OwnershipState.OWNER }) advanceTimeBy(5)
            tookMs = currentTime - startMs
        }
        return tookMs
    }

    /** Virtual time from the call of the commit until all 11 instances have the note in force. */
    fun measurePropagationMs(
        seed: Int,
        hasPeers: Boolean,
        hasPush: Boolean,
    ): Long {
        var tookMs = 0L
        runTest {
            val cluster = NoteCluster(this, InMemoryTableService(), 11, seed)
            val random = Random(seed)
            cluster.peers.deliveryOf = { _, _, message ->
                if (!hasPeers || (message is Notes && !hasPush && random.nextInt(2) == 0)) Delivery() else Delivery(1)
            }
            val all = cluster.startAll()
            advanceTimeBy(8_000 + random.nextLong(2_000))
            val startMs = currentTime
            all[seed % 11].commit(note("measured"))
            while (all.any { it.configuration.value.version < 1 }) advanceTimeBy(1)
            tookMs = currentTime - startMs
        }
        return tookMs
    }

    fun print(
        title: String,
        values: List<Long>,
    ) {
        val sorted = values.sorted()
        val quantiles = listOf(0.5, 0.9, 0.99).map { sorted[((sorted.size - 1) * it).toInt()] }
        println("$title (${sorted.size} seeds): min ${sorted.first()}, p50/p90/p99 $quantiles, max ${sorted.last()} ms")
    }

    private const val MEASURED_MS = 20_000L
}

internal fun main() {
    val seeds = 1..200
    (1..3).forEach { CoordinationMeasurements.printStoreCalls(it) }
    (1..3).forEach { killed ->
        val times = seeds.map { CoordinationMeasurements.measureTakeoverMs(it, killed) }
        CoordinationMeasurements.print("takeover, owner and ${killed - 1} first standbys killed", times)
    }
    val pushed = seeds.map { CoordinationMeasurements.measurePropagationMs(it, hasPeers = true, hasPush = true) }
    CoordinationMeasurements.print("note, pushed", pushed)
    val lossy = seeds.map { CoordinationMeasurements.measurePropagationMs(it, hasPeers = true, hasPush = false) }
    CoordinationMeasurements.print("note, half of the note messages lost", lossy)
    val pulled = seeds.map { CoordinationMeasurements.measurePropagationMs(it, hasPeers = false, hasPush = false) }
    CoordinationMeasurements.print("note, no peer messages", pulled)
    listOf(2, 6, 9, 11).forEach {
        println(
            "full heartbeat, " + CoordinationMeasurements.measureHeartbeats(it, CoordinationMeasurements.fullHeartbeat),
        )
    }
    println(
        "idle heartbeat, " +
            CoordinationMeasurements.measureHeartbeats(11, Heartbeat(DataCentre("kalamata-a"), 2_900)),
    )
    kotlin.system.exitProcess(0)
}
