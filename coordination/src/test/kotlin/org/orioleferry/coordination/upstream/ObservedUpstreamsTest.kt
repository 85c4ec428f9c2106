package org.orioleferry.coordination.upstream

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.coordination.membership.InstanceListWatcher
import org.orioleferry.coordination.membership.Membership
import org.orioleferry.coordination.peer.Heartbeat
import org.orioleferry.coordination.testing.InMemoryPeers
import org.orioleferry.coordination.testing.RecordedEvents
import org.orioleferry.coordination.testing.VirtualClock
import org.orioleferry.core.ManualClock
import org.orioleferry.core.event.EventType
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.WorkerId
import org.orioleferry.platform.ListedInstance
import org.orioleferry.platform.ReadResult
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

internal fun worker(
    index: Int,
    state: String = ListedInstance.STATE_LIVE,
) = ListedInstance("worker-$index", ListedInstance.KIND_WORKER, "solin", "rack", "http://worker-$index", state = state)

/** Instances with membership and upstream directories over a network in memory. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class UpstreamCluster(
    test: TestScope,
    instances: Int,
    var workers: List<ListedInstance>,
    var hasPeerReports: Boolean = true,
) {
    private val ids = List(instances) { InstanceId("entry-$it") }
    val deadWorkers = mutableSetOf<String>()
    val probes = IntArray(instances)
    val events = RecordedEvents()
    val peers = InMemoryPeers(test.backgroundScope)
    val directories =
        ids.mapIndexed { index, id ->
            val clock = VirtualClock(test.testScheduler)
            val entries = ids.map { ListedInstance(it.value, ListedInstance.KIND_ENTRY, "solin", address = "") }
            val watcher = InstanceListWatcher({ ReadResult.Found(entries + workers) }, Random(index), clock)
            val network = peers.node(id)
            lateinit var directory: ObservedUpstreams
            val membership =
                Membership(id, watcher, network, clock, Random(index)) {
                    val report = directory.reportForPeers()
                    val content = Heartbeat(DataCentre("solin"))
                    if (hasPeerReports) {
                        content.copy(leavingUpstreams = report.leaving, unreachableUpstreams = report.unreachable)
                    } else {
                        content
                    }
                }
            directory =
                ObservedUpstreams(id, watcher, network, membership::candidates, clock, events = events) {
                    probes[index]++
                    if (it.id.value in deadWorkers) UpstreamEvidence.UNREACHABLE else UpstreamEvidence.ANSWERED
                }
            test.backgroundScope.launch { watcher.run() }
            test.backgroundScope.launch { membership.run() }
            test.backgroundScope.launch { directory.run() }
            directory
        }

    fun states(worker: Int) =
        directories.map { directory -> directory.snapshot().singleOrNull { it.id.value == "worker-$worker" }?.state }
}

@OptIn(ExperimentalCoroutinesApi::class)
class ObservedUpstreamsTest {
    // Guards against new work for a worker that is leaving, when only one instance knows and the list lags.
    @Test
    fun `should end new work on every instance within three seconds of the first report`() {
        fun statesAfterOneReport(hasPeerReports: Boolean): List<UpstreamState?> {
            var states = emptyList<UpstreamState?>()
            runTest {
                val cluster = UpstreamCluster(this, 4, List(8) { worker(it) }, hasPeerReports)
                advanceTimeBy(10_000)
                cluster.directories[1].report(WorkerId("worker-3"), UpstreamEvidence.LEAVING)
                expectThat(cluster.states(3)[1]).isEqualTo(UpstreamState.LEAVING)
                advanceTimeBy(2_900)
                states = cluster.states(3)
            }
            return states
        }
        expectThat(statesAfterOneReport(hasPeerReports = true)).all { isEqualTo(UpstreamState.LEAVING) }
        expectThat(statesAfterOneReport(hasPeerReports = false)).contains(UpstreamState.LIVE)
    }

    // Guards against a lagging list that makes a leaving worker live again or hides that it is leaving.
    @Test
    fun `should accept a leaving report from any source and not let a lagging list revoke it`() =
        runTest {
            val cluster = UpstreamCluster(this, 3, List(4) { worker(it) })
            advanceTimeBy(10_000)
            cluster.directories[0].report(WorkerId("worker-0"), UpstreamEvidence.LEAVING)
            cluster.workers = listOf(worker(0), worker(1, ListedInstance.STATE_LEAVING), worker(2))
            advanceTimeBy(6_000)
            expectThat(cluster.states(0)).all { isEqualTo(UpstreamState.LEAVING) }
            expectThat(cluster.states(1)).all { isEqualTo(UpstreamState.LEAVING) }
            expectThat(cluster.states(2)).all { isEqualTo(UpstreamState.LIVE) }
            expectThat(cluster.states(3).filterNotNull()).all { isEqualTo(UpstreamState.LEAVING) }
            cluster.workers = listOf(worker(0), worker(1), worker(2))
            cluster.deadWorkers += "worker-3"
            advanceTimeBy(130_000)
            expectThat((0..2).flatMap { cluster.states(it) }).all { isEqualTo(UpstreamState.LIVE) }
            expectThat(cluster.states(3)).all { isEqualTo(null) }
        }

    // Guards against a worker that is declared dead for one failed connection, and against a dead one that is kept.
    @Test
    fun `should declare a worker dead after three failed probes and live again on an answer`() =
        runTest {
            val cluster = UpstreamCluster(this, 2, List(4) { worker(it) })
            val first = cluster.directories[0]
            advanceTimeBy(20_000)
            first.report(WorkerId("worker-0"), UpstreamEvidence.UNREACHABLE)
            expectThat(cluster.states(0)[0]).isEqualTo(UpstreamState.SUSPECT)
            advanceTimeBy(300)
            expectThat(cluster.states(0)[0]).isEqualTo(UpstreamState.LIVE)
            cluster.deadWorkers += "worker-0"
            first.report(WorkerId("worker-0"), UpstreamEvidence.UNREACHABLE)
            advanceTimeBy(1_900)
            expectThat(cluster.states(0)[0]).isEqualTo(UpstreamState.SUSPECT)
            advanceTimeBy(1_000)
            expectThat(cluster.states(0)[0]).isEqualTo(UpstreamState.DEAD)
            cluster.deadWorkers.clear()
            first.report(WorkerId("worker-0"), UpstreamEvidence.ANSWERED)
            expectThat(cluster.states(0)[0]).isEqualTo(UpstreamState.LIVE)
            expectThat(cluster.events.types).contains(EventType.UPSTREAM_DEAD)
        }

    private class QuarantineDriver(
        settings: QuarantineSettings = QuarantineSettings(),
    ) {
        val clock = ManualClock()
        private val network = InMemoryPeers(TestScope()).node(InstanceId("self"))
        private val watcher = InstanceListWatcher({ ReadResult.Unavailable("not read") }, Random(1), clock)
        private val upstreamSettings = UpstreamSettings(quarantine = settings)
        val directory =
            ObservedUpstreams(InstanceId("self"), watcher, network, { emptyList() }, clock, upstreamSettings) {
                UpstreamEvidence.ANSWERED
            }

        init {
            directory.onList(List(5) { worker(it) })
        }

        fun reportOutcomes(
            worker: Int,
            evidence: UpstreamEvidence,
            count: Int,
        ) = repeat(count) { directory.report(WorkerId("worker-$worker"), evidence) }

        fun state(worker: Int): UpstreamState {
            directory.dueProbes()
            return directory.snapshot().single { it.id.value == "worker-$worker" }.state
        }

        /** Time until the worker leaves quarantine. */
        fun quarantineMs(worker: Int): Long {
            val start = clock.monotonicMs()
            while (state(worker) == UpstreamState.QUARANTINED) clock.advance(100)
            return clock.monotonicMs() - start
        }
    }

    // Guards against a worker that fails at once, is therefore always free and gets all work, and against a quarantine
    // for faults of the work itself.
    @Test
    fun `should quarantine an outlier with a doubling duration and no worker when all fail`() {
        QuarantineDriver().run {
            (1..4).forEach { reportOutcomes(it, UpstreamEvidence.WORK_SUCCEEDED, 10) }
            reportOutcomes(0, UpstreamEvidence.WORK_FAILED, 2)
            expectThat(state(0)).isEqualTo(UpstreamState.LIVE)
            val delays =
                List(7) {
                    reportOutcomes(0, UpstreamEvidence.WORK_FAILED, 3)
                    quarantineMs(0)
                }
            expectThat(delays).isEqualTo(listOf(30_000L, 60_000, 120_000, 240_000, 480_000, 600_000, 600_000))
            reportOutcomes(0, UpstreamEvidence.WORK_SUCCEEDED, 3)
            reportOutcomes(0, UpstreamEvidence.WORK_FAILED, 4)
            expectThat(quarantineMs(0)).isEqualTo(30_000)
        }

        fun quarantinedWhenAllFail(settings: QuarantineSettings) =
            QuarantineDriver(settings).run {
                repeat(10) { (0..4).forEach { reportOutcomes(it, UpstreamEvidence.WORK_FAILED, 1) } }
                (0..4).count { state(it) == UpstreamState.QUARANTINED }
            }
        expectThat(quarantinedWhenAllFail(QuarantineSettings())).isEqualTo(0)
        expectThat(quarantinedWhenAllFail(QuarantineSettings(maxPeerMedian = 1.1))).isGreaterThan(0)
    }

    // Guards against probes that exceed the traffic limit at design size, and against a dead worker that only a few
    // instances detect.
    @Test
    fun `should share the probes of 970 workers and spread a failure that one instance finds`() {
        fun statesOfDead(hasPeerReports: Boolean): List<UpstreamState?> {
            var states = emptyList<UpstreamState?>()
            runTest {
                val cluster = UpstreamCluster(this, 11, List(970) { worker(it) }, hasPeerReports)
                advanceTimeBy(10_000)
                cluster.probes.fill(0)
                advanceTimeBy(60_000)
                expectThat(cluster.probes.toList()).all { isLessThanOrEqualTo(31) }
                cluster.deadWorkers += "worker-500"
                cluster.directories[0].report(WorkerId("worker-500"), UpstreamEvidence.UNREACHABLE)
                // An instance's own evidence outweighs a report for 10 s; a heartbeat and three probes follow.
                advanceTimeBy(15_000)
                states = cluster.states(500)
            }
            return states
        }
        expectThat(statesOfDead(hasPeerReports = true)).all { isEqualTo(UpstreamState.DEAD) }
        expectThat(statesOfDead(hasPeerReports = false)).contains(UpstreamState.LIVE)
    }
}
