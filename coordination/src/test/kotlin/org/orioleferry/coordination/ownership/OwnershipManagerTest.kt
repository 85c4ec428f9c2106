package org.orioleferry.coordination.ownership

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.core.ManualClock
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.InstanceId
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.TableOperation
import org.orioleferry.standins.InMemoryTableService
import org.orioleferry.standins.StoreFault
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

private val DOMAIN = DOMAINS.first()

private class Write(
    val instance: InstanceId,
    val epoch: Epoch,
    val version: Long,
)

private class ContentionResult(
    val writes: List<Write>,
    val maxConcurrentOwners: Int,
)

@OptIn(ExperimentalCoroutinesApi::class)
class OwnershipManagerTest {
    private fun List<Contender>.ownersOf(domain: DataCentre) =
        filter { it.manager.ownershipOf(domain).state == OwnershipState.OWNER }

    /** Runs contenders that write rows under random faults, late writes and pauses. */
    private fun runContention(
        seed: Int,
        isFenced: Boolean,
    ): ContentionResult {
        val random = Random(seed)
        val writes = mutableListOf<Write>()
        var maxOwners = 0
        runTest {
            val store = InMemoryTableService { randomFault(random) }
            val all = contenders(4, store, seed, listOf(DOMAIN), latencyMs = { random.nextLong(1, 60) })
            all.forEach { contender ->
                contender.link.sendsLate = { send ->
                    val isLate = random.nextInt(30) == 0
                    if (isLate) backgroundScope.launch { delay(random.nextLong(3_000)).also { send() } }
                    isLate
                }
                contender.start(backgroundScope)
                backgroundScope.launch { while (true) write(contender, random, isFenced, writes) }
            }
            backgroundScope.launch {
                while (true) {
                    delay(random.nextLong(2_000, 6_000))
                    all.random(random).link.pausedUntilMs = currentTime + random.nextLong(500, 6_000)
                }
            }
            repeat(12_000) {
                advanceTimeBy(10)
                maxOwners = maxOf(maxOwners, all.ownersOf(DOMAIN).size)
            }
        }
        return ContentionResult(writes.sortedBy { it.version }, maxOwners)
    }

    private fun randomFault(random: Random) =
        when (random.nextInt(20)) {
            0 -> StoreFault.LOSE_ANSWER
            1 -> StoreFault.DOWN
            else -> StoreFault.NONE
        }

    private suspend fun write(
        contender: Contender,
        random: Random,
        isFenced: Boolean,
        writes: MutableList<Write>,
    ) {
        delay(random.nextLong(20, 80))
        val ownership = contender.manager.ownershipOf(DOMAIN)
        if (ownership.state != OwnershipState.OWNER) return
        val version = if (isFenced) ownership.fenceVersion else null
        val check = TableOperation(OwnershipView.TABLE, OwnershipView.fenceKey(DOMAIN), version, null, check = true)
        val result = contender.link.commit(listOf(check, TableOperation("jobs", "job", null, contender.id.value)))
        if (result is CommitResult.Committed) writes += Write(contender.id, ownership.epoch, result.versions.last())
    }

    private fun staleWrites(result: ContentionResult): Int {
        val byEpoch = result.writes.groupBy({ it.epoch }, { it.instance })
        val reused = byEpoch.values.count { it.distinct().size > 1 }
        return reused + result.writes.zipWithNext().count { (earlier, later) -> later.epoch < earlier.epoch }
    }

    // Guards against two instances that place jobs in one domain at the same time.
    @Test
    fun `should never commit with a lower or a shared epoch`() {
        val fenced = (1..20).map { runContention(it, isFenced = true) }
        expectThat(fenced.map { staleWrites(it) }).all { isEqualTo(0) }
        expectThat(fenced.map { it.maxConcurrentOwners }).all { isLessThanOrEqualTo(1) }
        expectThat(
            fenced.sumOf {
                it.writes
                    .map(Write::epoch)
                    .distinct()
                    .size
            },
        ).isGreaterThan(40)
        // Without the check of the fence row, owners that are paused between check and effect do commit.
        expectThat((1..20).sumOf { staleWrites(runContention(it, isFenced = false)) }).isGreaterThan(0)
    }

    // Guards against an owner that, after a pause of its process, still acts on a lapsed lease.
    @Test
    fun `should be unconfirmed after a pause and discard the domain when the epoch has grown`() =
        runTest {
            val clock = ManualClock()
            val store = InMemoryTableService()
            val changes = mutableListOf<OwnershipChange>()
            val ids = listOf(InstanceId("first"), InstanceId("second"))
            val (first, second) =
                ids.map { id ->
                    val self = OwnershipCandidate(id, 1)
                    OwnershipManager(
                        self,
                        listOf(DOMAIN),
                        store,
                        clock,
                        Random(1),
                        { ids },
                        listener = { changes += it },
                    )
                }
            while (first.ownershipOf(DOMAIN).state != OwnershipState.OWNER) clock.advance(first.step(DOMAIN))
            clock.advance(1_500)
            expectThat(first.ownershipOf(DOMAIN).state).isEqualTo(OwnershipState.UNCONFIRMED)
            while (second.ownershipOf(DOMAIN).state != OwnershipState.OWNER) clock.advance(second.step(DOMAIN))
            expectThat(first.ownershipOf(DOMAIN).state).isEqualTo(OwnershipState.UNCONFIRMED)
            first.step(DOMAIN)
            expectThat(first.ownershipOf(DOMAIN)).isEqualTo(Ownership(DOMAIN, OwnershipState.NOT_OWNER, Epoch(2), 0))
            expectThat(changes).isEqualTo(
                mutableListOf(
                    OwnershipChange.Acquired(DOMAIN, Epoch(1)),
                    OwnershipChange.Acquired(DOMAIN, Epoch(2)),
                    OwnershipChange.Lost(DOMAIN, Epoch(1)),
                ),
            )
        }

    private class OutageResult(
        val callsPerInstanceInOutage: Int,
        val callsInBusiestSecondAfter: Int,
        val epochsAfter: List<Epoch>,
    )

    private fun runOutage(
        seed: Int,
        hasCircuitBreaker: Boolean,
    ): OutageResult {
        var result = OutageResult(0, 0, emptyList())
        runTest {
            var isDown = false
            val store = InMemoryTableService { if (isDown) StoreFault.DOWN else StoreFault.NONE }
            val all = contenders(11, store, seed, hasCircuitBreaker = hasCircuitBreaker)
            all.forEach { it.start(backgroundScope) }
            advanceTimeBy(20_000)
            isDown = true
            advanceTimeBy(20_000)
            expectThat(DOMAINS.flatMap { all.ownersOf(it) }).isEmpty()
            isDown = false
            advanceTimeBy(20_000)
            DOMAINS.forEach { expectThat(all.ownersOf(it)).hasSize(1) }
            // Calls are counted from second 25, when all instances have detected the outage.
            val inOutage = all.maxOf { contender -> (25L..39L).maxOf { contender.link.callsBySecond[it] ?: 0 } }
            val after = (40L..59L).maxOf { second -> all.sumOf { it.link.callsBySecond[second] ?: 0 } }
            val epochs =
                DOMAINS.map { domain ->
                    all
                        .ownersOf(domain)
                        .single()
                        .manager
                        .ownershipOf(domain)
                        .epoch
                }
            result = OutageResult(inOutage, after, epochs)
        }
        return result
    }

    // Guards against a store that is overloaded by retries when it recovers, and against owners that change needlessly.
    @Test
    fun `should limit calls to an unavailable store and keep the owners after it recovers`() {
        val withCircuitBreaker = (1..10).map { runOutage(it, hasCircuitBreaker = true) }
        expectThat(withCircuitBreaker.map { it.callsPerInstanceInOutage }).all { isLessThanOrEqualTo(1) }
        expectThat(withCircuitBreaker.flatMap { it.epochsAfter }).all { isEqualTo(Epoch(1)) }
        expectThat(withCircuitBreaker.map { it.callsInBusiestSecondAfter }).all { isLessThanOrEqualTo(65) }
        expectThat(runOutage(1, hasCircuitBreaker = false).callsPerInstanceInOutage).isGreaterThan(1)
    }

    /** Time until the only instance owns the domain, when the answer to commit number [lost] is lost. */
    private fun timeToOwnMs(
        lost: Int,
        hasReadBack: Boolean,
    ): Long {
        var ownedAtMs = 0L
        runTest {
            var commits = 0
            val store =
                InMemoryTableService { operations ->
                    if (operations.isNotEmpty()) commits++
                    when {
                        operations.isNotEmpty() && commits == lost -> StoreFault.LOSE_ANSWER
                        operations.isEmpty() && commits == lost && !hasReadBack -> StoreFault.DOWN
                        else -> StoreFault.NONE
                    }
                }
            val clock = ManualClock()
            val self = OwnershipCandidate(InstanceId("only"), 7)
            val manager = OwnershipManager(self, listOf(DOMAIN), store, clock, Random(1), { listOf(self.id) })
            repeat(8) {
                val waitMs = manager.step(DOMAIN)
                if (manager.ownershipOf(DOMAIN).state != OwnershipState.OWNER) ownedAtMs += waitMs
                clock.advance(waitMs)
            }
            val row = (store.read(OwnershipView.TABLE, OwnershipView.leaseKey(DOMAIN)) as? ReadResult.Found)?.value
            if (hasReadBack) expectThat(row?.toLease()?.epoch).isEqualTo(Epoch(1))
            if (hasReadBack) manager.release()
        }
        return ownedAtMs
    }

    // Guards against an instance that treats its own acquisition, renewal or release as another instance's.
    @Test
    fun `should read back after a lost acknowledgement of any write`() {
        expectThat((1..10).map { timeToOwnMs(it, hasReadBack = true) }).all { isEqualTo(0) }
        expectThat(timeToOwnMs(1, hasReadBack = false)).isGreaterThan(0)
    }

    // Guards against a domain without owner after a restart, and against a takeover slower than urgent work allows.
    @Test
    fun `should take over a dead owner's domain within two seconds and a released one sooner`() =
        runTest {
            val all = contenders(3, InMemoryTableService(), 5, listOf(DOMAIN))
            all.forEach { it.start(backgroundScope) }
            advanceTimeBy(10_000)
            val first = all.ownersOf(DOMAIN).single()
            first.job.cancel()
            advanceTimeBy(2_100)
            val second = all.minus(first).ownersOf(DOMAIN).single()
            second.job.cancel()
            second.manager.release()
            advanceTimeBy(2_300)
            expectThat(
                all
                    .minus(setOf(first, second))
                    .ownersOf(DOMAIN)
                    .single()
                    .manager
                    .ownershipOf(DOMAIN)
                    .epoch,
            ).isEqualTo(Epoch(3))
        }
}
