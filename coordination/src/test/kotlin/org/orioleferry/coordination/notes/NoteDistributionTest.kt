package org.orioleferry.coordination.notes

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.coordination.membership.InstanceListWatcher
import org.orioleferry.coordination.membership.Membership
import org.orioleferry.coordination.peer.Heartbeat
import org.orioleferry.coordination.peer.Notes
import org.orioleferry.coordination.store.CircuitBreakerTableService
import org.orioleferry.coordination.testing.Delivery
import org.orioleferry.coordination.testing.InMemoryPeers
import org.orioleferry.coordination.testing.StoreLink
import org.orioleferry.coordination.testing.VirtualClock
import org.orioleferry.core.Failure
import org.orioleferry.core.FailureCode
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.NoteAccepted
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Definitions
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.ReleaseNote
import org.orioleferry.platform.ListedInstance
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.TableService
import org.orioleferry.standins.InMemoryTableService
import org.orioleferry.standins.StoreFault
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.get
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

internal fun note(
    id: String,
    base: Long? = null,
) = ReleaseNote(id, baseVersion = base, add = Definitions(classes = listOf(JobClass(JobClassName(id)))))

/** Entry instances with membership and note distribution over an in-memory network. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class NoteCluster(
    private val test: TestScope,
    private val store: TableService,
    count: Int,
    private val seed: Int = 1,
) {
    private val ids = List(count) { InstanceId("entry-$it") }
    private val dataCentre = DataCentre("solin")
    private val clock = VirtualClock(test.testScheduler)
    val peers = InMemoryPeers(test.backgroundScope)
    val links = ids.associateWith { StoreLink(store, clock) }
    var hasPeerNotes = true

    fun start(index: Int): NoteDistribution {
        val id = ids[index]
        val random = Random(seed * 100 + index)
        val entries = ids.map { ListedInstance(it.value, ListedInstance.KIND_ENTRY, dataCentre.value, address = "") }
        val watcher = InstanceListWatcher({ ReadResult.Found(entries) }, random, clock)
        val network = peers.node(id)
        lateinit var notes: NoteDistribution
        val membership =
            Membership(id, watcher, network, clock, random) {
                Heartbeat(dataCentre, if (hasPeerNotes) notes.heartbeatVersion else -1)
            }
        val guarded = CircuitBreakerTableService(links.getValue(id), clock, random)
        notes = NoteDistribution(NoteInstance(id, dataCentre), guarded, network, membership, clock, random)
        test.backgroundScope.launch { watcher.run() }
        test.backgroundScope.launch { membership.run() }
        test.backgroundScope.launch { notes.run() }
        return notes
    }

    fun startAll() = ids.indices.map { start(it) }

    fun disconnectStore(index: Int) {
        links.getValue(ids[index]).isDisconnected = true
    }
}

@OptIn(ExperimentalCoroutinesApi::class)
class NoteDistributionTest {
    private fun failureOf(outcome: Outcome<NoteAccepted>): Failure {
        expectThat(outcome).isA<Outcome.Failed>()
        return (outcome as Outcome.Failed).failure
    }

    private fun success(
        version: Long,
        alreadyApplied: Boolean = false,
    ) = Outcome.Success(NoteAccepted(version, alreadyApplied))

    // Guards against concurrent notes on one base version that are reported to more than one operator as committed.
    @Test
    fun `should commit one of concurrent notes and name it to the losers`() =
        runTest {
            val all = NoteCluster(this, InMemoryTableService(), 4).startAll()
            advanceTimeBy(3_000)
            val outcomes = all.mapIndexed { index, it -> async { it.commit(note("note-$index")) } }.awaitAll()
            val winner = outcomes.indexOfFirst { it is Outcome.Success }
            val failures = outcomes.filterIsInstance<Outcome.Failed>().map { it.failure }
            expectThat(failures).hasSize(3)
            expectThat(failures).all { get { code }.isEqualTo(FailureCode.NOTE_CONFLICT) }
            expectThat(failures).all { get { details["winner"] }.isEqualTo("note-$winner") }
            expectThat(all[0].commit(note("later", base = 0))).isA<Outcome.Failed>()
            expectThat(all[0].commit(note("later", base = 1))).isEqualTo(success(2))
            expectThat(all[1].commit(note("later", base = 1))).isEqualTo(success(2, alreadyApplied = true))
            val other = note("other").copy(noteId = "later")
            expectThat(failureOf(all[2].commit(other)).code).isEqualTo(FailureCode.NOTE_INVALID)
            advanceTimeBy(2_100)
            expectThat(all.map { it.configuration.value }.distinct()).hasSize(1)
            expectThat(all[3].status().instances.map { it.version }).isEqualTo(listOf(2L, 2L, 2L, 2L))
            expectThat((all[3].history() as Outcome.Success).value.map { it.version }).isEqualTo(listOf(1L, 2L))
        }

    /** Commits one note with the answers to the first [lost] commits lost; without read-back, later reads fail. */
    private fun commitWithLostAnswers(
        lost: Int,
        hasReadBack: Boolean,
    ): Outcome<NoteAccepted> {
        var outcome: Outcome<NoteAccepted> = success(0)
        runTest {
            var commits = 0
            val store =
                InMemoryTableService { operations ->
                    if (operations.isNotEmpty()) commits++
                    when {
                        operations.isNotEmpty() && commits <= lost -> StoreFault.LOSE_ANSWER
                        operations.isEmpty() && commits > 0 && !hasReadBack -> StoreFault.DOWN
                        else -> StoreFault.NONE
                    }
                }
            val (notes) = NoteCluster(this, store, 1).startAll()
            advanceTimeBy(100)
            outcome = notes.commit(note("first"))
        }
        return outcome
    }

    // Guards against a committed note that is reported as lost, or committed twice, after a lost acknowledgement.
    @Test
    fun `should read back after lost acknowledgements`() {
        expectThat((1..5).map { commitWithLostAnswers(it, hasReadBack = true) }).all { isEqualTo(success(1)) }
        val withoutReadBack = failureOf(commitWithLostAnswers(1, hasReadBack = false))
        expectThat(withoutReadBack.code).isEqualTo(FailureCode.OUTCOME_UNKNOWN)
        expectThat(withoutReadBack.isNotRun).isEqualTo(false)
    }

    // Guards against a configuration version that decreases, and against notes that arrive only through the store.
    @Test
    fun `should distribute notes through peers and never decrease the version`() {
        fun versionGapOfDisconnectedInstance(hasPeerNotes: Boolean): Long {
            var version = 0L
            runTest {
                val random = Random(3)
                val cluster = NoteCluster(this, InMemoryTableService(), 5)
                cluster.hasPeerNotes = hasPeerNotes
                val all = cluster.startAll()
                val seen = all.map { mutableListOf<Long>() }
                all.forEachIndexed { index, it ->
                    backgroundScope.launch { it.configuration.collect { seen[index] += it.version } }
                }
                advanceTimeBy(3_000)
                cluster.disconnectStore(4)
                cluster.peers.deliveryOf = { _, _, message ->
                    when {
                        message is Notes && (!hasPeerNotes || random.nextInt(3) == 0) -> Delivery()
                        else -> Delivery(random.nextLong(1, 2_000), random.nextLong(1, 5_000))
                    }
                }
                repeat(200) {
                    all[it % 4].commit(note("note-$it"))
                    delay(random.nextLong(1, 400))
                }
                advanceTimeBy(10_000)
                seen.forEach { expectThat(it).isEqualTo(it.sorted().toMutableList()) }
                expectThat(all.take(4).map { it.configuration.value.version }.distinct()).hasSize(1)
                version = all[4].configuration.value.version - all[0].configuration.value.version
            }
            return version
        }
        expectThat(versionGapOfDisconnectedInstance(hasPeerNotes = true)).isEqualTo(0)
        // Without notes from the peers, an instance without the store stays behind.
        expectThat(versionGapOfDisconnectedInstance(hasPeerNotes = false)).isLessThanOrEqualTo(-1)
    }

    // Guards against an instance that serves with an old or empty configuration because it started in an outage.
    @Test
    fun `should take the highest version from peers before it is ready in an outage`() =
        runTest {
            var isDown = false
            val store = InMemoryTableService { if (isDown) StoreFault.DOWN else StoreFault.NONE }
            val cluster = NoteCluster(this, store, 3)
            val first = cluster.start(0)
            advanceTimeBy(100)
            repeat(300) { expectThat(first.commit(note("note-$it"))).isEqualTo(success(it + 1L)) }
            isDown = true
            val second = cluster.start(1)
            while (!second.isReady.value && currentTime < 60_000) delay(50)
            expectThat(second.isReady.value).isEqualTo(true)
            expectThat(second.configuration.value).isEqualTo(first.configuration.value)
            expectThat(failureOf(second.commit(note("refused"))).isNotRun).isEqualTo(true)
            isDown = false
            advanceTimeBy(3_000)
            // A later instance reads the snapshot row and the notes after it.
            val third = cluster.start(2)
            advanceTimeBy(500)
            expectThat(third.configuration.value).isEqualTo(first.configuration.value)
        }

    // Guards against instances that are all ready without a configuration when all of them start in an outage.
    @Test
    fun `should not be ready while no instance has established the version`() =
        runTest {
            var isDown = true
            val store = InMemoryTableService { if (isDown) StoreFault.DOWN else StoreFault.NONE }
            val all = NoteCluster(this, store, 3).startAll()
            advanceTimeBy(30_000)
            expectThat(all.map { it.isReady.value }).all { isEqualTo(false) }
            isDown = false
            advanceTimeBy(4_000)
            expectThat(all.map { it.isReady.value }).all { isEqualTo(true) }
        }

    // Guards against a configuration that reverts or forks when a message is old or belongs to another chain.
    @Test
    fun `should ignore older snapshots, repeated notes and notes of another chain`() {
        fun committed(
            version: Long,
            previous: String,
        ): CommittedNote {
            val content = NoteDigest.ofContent(note("note-$version"))
            val digest = NoteDigest.ofChain(previous, version, content)
            return CommittedNote(version, note("note-$version"), content, digest, InstanceId("entry-0"), 0)
        }
        val first = committed(1, "")
        val second = committed(2, first.digest)
        val chain = NoteChain()
        expectThat(chain.append(listOf(second))).hasSize(0)
        expectThat(chain.append(listOf(second, first, first))).isEqualTo(listOf(first, second))
        expectThat(chain.append(listOf(committed(3, "foreign")))).hasSize(0)
        expectThat(chain.install(NoteSnapshot(Configuration(version = 1), first.digest))).isEqualTo(false)
        expectThat(chain.version).isEqualTo(2)
    }
}
