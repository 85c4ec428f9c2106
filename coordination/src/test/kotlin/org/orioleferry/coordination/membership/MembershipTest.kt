package org.orioleferry.coordination.membership

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.coordination.peer.ClassLoad
import org.orioleferry.coordination.peer.Heartbeat
import org.orioleferry.coordination.peer.PeerMessage
import org.orioleferry.coordination.peer.ReceivedMessage
import org.orioleferry.coordination.testing.Delivery
import org.orioleferry.coordination.testing.InMemoryPeers
import org.orioleferry.coordination.testing.RecordedEvents
import org.orioleferry.coordination.testing.VirtualClock
import org.orioleferry.core.ManualClock
import org.orioleferry.core.event.EventType
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.JobClassName
import org.orioleferry.platform.ListedInstance
import org.orioleferry.platform.ReadResult
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.random.Random

@OptIn(ExperimentalCoroutinesApi::class)
class MembershipTest {
    private val dataCentre = DataCentre("solin")
    private val ids = List(3) { InstanceId("entry-$it") }
    private val events = RecordedEvents()
    private var listed = ids
    private var load = emptyMap<JobClassName, ClassLoad>()

    private fun entries() =
        listed.map {
            ListedInstance(it.value, ListedInstance.KIND_ENTRY, dataCentre.value, address = "", peerAddress = "")
        }

    private fun TestScope.start(
        peers: InMemoryPeers,
        settings: MembershipSettings = MembershipSettings(),
    ): List<Membership> =
        ids.mapIndexed { index, id ->
            val clock = VirtualClock(testScheduler)
            val watcher = InstanceListWatcher({ ReadResult.Found(entries()) }, Random(index), clock)
            val member =
                Membership(id, watcher, peers.node(id), clock, Random(index), settings, events) {
                    Heartbeat(dataCentre, load = load)
                }
            backgroundScope.launch { watcher.run() }
            backgroundScope.launch { member.run() }
            member
        }

    private fun Membership.stateOf(id: InstanceId) = members().single { it.id == id }.state

    // Guards against instances that are declared dead and lose their domains because of one lost packet.
    @Test
    fun `should not suspect after one lost heartbeat and should declare dead after six seconds`() {
        fun suspicions(settings: MembershipSettings): Int {
            events.types.clear()
            runTest {
                var count = 0
                val lossy = { _: InstanceId, _: InstanceId, message: PeerMessage ->
                    if (message is Heartbeat && ++count % 5 == 0) Delivery() else Delivery(3, 40)
                }
                start(InMemoryPeers(backgroundScope, lossy), settings)
                advanceTimeBy(60_000)
            }
            return events.types.count { it == EventType.PEER_SUSPECTED }
        }
        expectThat(suspicions(MembershipSettings())).isEqualTo(0)
        // A limit below two heartbeat periods does not tolerate a lost heartbeat.
        expectThat(suspicions(MembershipSettings(suspectMs = 1_500))).isGreaterThan(0)
        runTest {
            val peers = InMemoryPeers(backgroundScope)
            val (first) = start(peers)
            advanceTimeBy(5_000)
            expectThat(first.candidates()).isEqualTo(ids.toSet())
            peers.deliveryOf = { from, _, _ -> if (from == ids[1]) Delivery() else Delivery(1) }
            advanceTimeBy(4_300)
            expectThat(first.stateOf(ids[1])).isEqualTo(MemberState.SUSPECT)
            advanceTimeBy(3_000)
            expectThat(first.stateOf(ids[1])).isEqualTo(MemberState.DEAD)
            expectThat(first.candidates()).containsExactlyInAnyOrder(ids[0], ids[2])
            peers.deliveryOf = { _, _, _ -> Delivery(1) }
            advanceTimeBy(1_100)
            expectThat(first.stateOf(ids[1])).isEqualTo(MemberState.ALIVE)
        }
    }

    private class ManualMembership(
        settings: MembershipSettings = MembershipSettings(),
        val events: RecordedEvents = RecordedEvents(),
    ) {
        val clock = ManualClock()
        private val watcher = InstanceListWatcher({ ReadResult.Unavailable("not read") }, Random(1), clock)
        private val network = InMemoryPeers(TestScope()).node(InstanceId("self"))
        val membership =
            Membership(InstanceId("self"), watcher, network, clock, Random(1), settings, events) {
                Heartbeat(DataCentre("solin"))
            }

        fun receiveHeartbeat(
            incarnation: Long,
            sequence: Long,
            version: Long,
        ) = membership.onMessage(
            ReceivedMessage(InstanceId("peer"), incarnation, sequence, Heartbeat(DataCentre("split-a"), version)),
        )

        fun state() = membership.members().single().state

        fun version() = membership.versions().single().version
    }

    // Guards against an instance that suspects all others after a pause of its own process.
    @Test
    fun `should not suspect others when the observer was slow`() {
        fun stateAfterPause(settings: MembershipSettings) =
            ManualMembership(settings).run {
                receiveHeartbeat(1, 1, 0)
                membership.checkPeers()
                clock.advance(20_000)
                membership.checkPeers()
                state()
            }
        expectThat(stateAfterPause(MembershipSettings())).isEqualTo(MemberState.ALIVE)
        expectThat(stateAfterPause(MembershipSettings(slowObserverMs = 1_000_000))).isEqualTo(MemberState.DEAD)
    }

    // Guards against state that reverts when messages of an earlier process or sequence number arrive late.
    @Test
    fun `should ignore heartbeats that are repeated, late or of an earlier process`() {
        ManualMembership().run {
            receiveHeartbeat(5, 10, version = 7)
            receiveHeartbeat(5, 9, version = 6)
            receiveHeartbeat(5, 10, version = 6)
            receiveHeartbeat(4, 99, version = 5)
            expectThat(version()).isEqualTo(7)
            receiveHeartbeat(6, 1, version = 8)
            expectThat(version()).isEqualTo(8)
            expectThat(events.types).containsExactly(EventType.PEER_JOINED, EventType.PEER_JOINED)
        }
    }

    // Guards against a lagging list that hides an instance which sends heartbeats, or keeps one which sends none.
    @Test
    fun `should let heartbeats take precedence over the list`() =
        runTest {
            listed = listOf(ids[0], ids[1], InstanceId("gone"))
            val peers = InMemoryPeers(backgroundScope)
            val (first, second) = start(peers)
            expectThat(first.hasHeardFromAll()).isEqualTo(false)
            advanceTimeBy(6_500)
            expectThat(first.stateOf(InstanceId("gone"))).isEqualTo(MemberState.DEAD)
            expectThat(first.hasHeardFromAll()).isEqualTo(true)
            // The third instance is not listed, but it reads the list and sends heartbeats to the others.
            expectThat(second.candidates()).contains(ids[2])
        }

    // Guards against heartbeats that grow with the number of classes, and against loads that are never dropped.
    @Test
    fun `should report the load of many classes a few at a time`() =
        runTest {
            load = (1..8).associate { JobClassName("class-$it") to ClassLoad(queued = it) }
            val all = load
            val (first) = start(InMemoryPeers(backgroundScope))
            advanceTimeBy(4_500)
            val member = first.members().first()
            expectThat(member.load).isEqualTo(all)
            expectThat(member.heartbeat?.load?.size).isEqualTo(3)
            load = all.filterValues { it.queued < 8 }
            advanceTimeBy(32_000)
            expectThat(first.members().first().load).isEqualTo(load)
        }
}
