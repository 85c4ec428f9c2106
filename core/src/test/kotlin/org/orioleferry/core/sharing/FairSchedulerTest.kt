package org.orioleferry.core.sharing

import org.junit.jupiter.api.Test
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.Workspace
import org.orioleferry.core.model.WorkspaceName
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

class FairSchedulerTest {
    private val seed = System.getProperty("orioleferry.seed")?.toLong() ?: 20_261_204L
    private val sheds = Workspace(WorkspaceName("sheds"))
    private val audit = Workspace(WorkspaceName("audit"), weight = 3)
    private val urgent = JobClass(JobClassName("shed-credit"), 0, weight = 8, floorShare = 0.1)
    private val normal = JobClass(JobClassName("tally"), 5, weight = 2, floorShare = 0.1)
    private val routine = JobClass(JobClassName("grade-check"), 9, weight = 1, floorShare = 0.2)
    private val capacity = SlotCapacity(1, 1)

    // Guards against a small caller that waits behind all queued requests of a large caller.
    @Test
    fun `the first request of a small caller should not wait behind the thousandth of a large one`() {
        expectThat(countServedBefore("clerk") { it }).isLessThanOrEqualTo(WorkspaceQueue.SHARDS_PER_CALLER)
        // With one caller name for all requests, the clerk waits behind all of them.
        expectThat(countServedBefore("clerk") { "everyone" }).isGreaterThan(50)
    }

    private fun countServedBefore(
        small: String,
        callerOf: (String) -> String,
    ): Int {
        val scheduler = FairScheduler<String>(2_000, seed)
        repeat(1_000) { scheduler.offer(normal, sheds, callerOf("auditor"), 60_000, "auditor", 0) }
        scheduler.next(capacity, 0)
        scheduler.offer(normal, sheds, callerOf(small), 60_000, small, 0)
        return generateSequence { scheduler.next(capacity, 0) }.takeWhile { it.item != small }.count()
    }

    // Guards against large callers that together fill the queue, so that the request of another caller is refused.
    @Test
    fun `large callers should leave room for the first request of a small one`() {
        val scheduler = FairScheduler<Int>(2_000, seed)
        repeat(100_000) { scheduler.offer(normal, sheds, "large-${it % 40}", 60_000, it, 0) }
        val offer = scheduler.offer(normal, audit, "clerk", 60_000, -1, 0)
        expectThat(offer).isA<Offer.Queued<Int>>()
        val admitted = (1..100).count { scheduler.offer(normal, sheds, "clerk-$it", 60_000, it, 0) is Offer.Queued }
        expectThat(admitted).isGreaterThanOrEqualTo(95)
    }

    // Guards against memory use and run time that grow with the number of caller names.
    @Test
    fun `state and steps should be bounded for any number of caller names`() {
        val scheduler = FairScheduler<Int>(2_000, seed)
        repeat(50_000) { scheduler.offer(normal, sheds, "caller-$it", 60_000, it, 0) }
        expectThat(scheduler.size).isLessThanOrEqualTo(2_000)
        expectThat(scheduler.steps).isLessThan(50_000L * 12)
        val before = scheduler.steps
        val served = generateSequence { scheduler.next(capacity, 0) }.count()
        expectThat(scheduler.steps - before).isLessThan(served * 8L)
        expectThat(scheduler.size).isEqualTo(0)
    }

    // Guards against a workspace that gets more than its weighted share by sending more requests.
    @Test
    fun `workspaces should take turns by weight`() {
        val scheduler = FairScheduler<String>(2_000, seed)
        repeat(400) { scheduler.offer(normal, sheds, "a", 60_000, "sheds", 0) }
        repeat(100) { scheduler.offer(normal, audit, "b", 60_000, "audit", 0) }
        val turns = List(40) { scheduler.next(capacity, 0)?.item }
        expectThat(turns.count { it == "audit" }).isEqualTo(30)
    }

    // Guards against queueing a request that cannot end in time, which would run or fail after its deadline.
    @Test
    fun `a request that cannot end before its deadline should be refused with the time to wait`() {
        val scheduler = FairScheduler<Int>(2_000, seed)
        repeat(300) { scheduler.offer(normal, sheds, "a", 60_000, it, 0) }
        repeat(20) { scheduler.next(capacity, it * 100L) }
        val offer = scheduler.offer(normal, sheds, "a", 3_000, -1, 2_000)
        expectThat(offer).isA<Offer.Shed>().get { reason }.isEqualTo(ShedReason.TOO_LATE)
        expectThat(scheduler.offer(normal, sheds, "clerk", 3_000, -1, 2_000)).isA<Offer.Queued<Int>>()
    }

    // Guards against a flood of the most urgent class that starves the others when its requests hold slots for long.
    @Test
    fun `a flood of long urgent requests should leave every other class its floor`() {
        val flood = Stream(urgent, sheds, listOf("x", "y"), 500.0, serviceMs = 1_000.0)
        val others = listOf(Stream(normal, audit, listOf("n"), 200.0), Stream(routine, audit, listOf("r"), 200.0))
        val results = SharingSimulation(64, seed).run(others + flood, 60_000)
        others.forEach { stream ->
            val slotsUsed = results.getValue(stream).waits.size * stream.serviceMs / 60_000
            expectThat(slotsUsed).isGreaterThanOrEqualTo(64 * stream.jobClass.floorShare * 0.95)
        }
    }

    // Guards against a flood of one class that reduces the throughput of the others.
    @Test
    fun `a flood should leave the other classes their throughput`() {
        listOf(urgent, normal, routine).forEach { flooded ->
            val calm = listOf(urgent to 200.0, normal to 80.0, routine to 50.0).filter { it.first != flooded }
            val others = calm.map { (name, perSecond) -> Stream(name, audit, List(20) { "c$it" }, perSecond) }
            val alone = SharingSimulation(64, seed).run(others, 60_000)
            val flood = Stream(flooded, sheds, List(5) { "f$it" }, 3_000.0)
            val during = SharingSimulation(64, seed).run(others + flood, 60_000)
            others.forEach {
                val (before, after) = alone.getValue(it) to during.getValue(it)
                println(
                    "measured: flood of ${flooded.name}: ${it.jobClass.name} served ${after.servedShare}, " +
                        "p99 wait ${before.quantile(0.99)} -> ${after.quantile(0.99)} ms",
                )
                expectThat(after.servedShare / before.servedShare).isGreaterThanOrEqualTo(0.95)
            }
        }
    }

    // Guards against a large caller that delays the small callers of the same workspace and class.
    @Test
    fun `a large caller should not make small callers wait`() {
        val small = List(20) { Stream(normal, sheds, listOf("clerk-$it"), 4.0) }
        val large = Stream(normal, sheds, listOf("reconciliation"), 400.0 * 4)
        val base = Stream(normal, sheds, List(200) { "other-$it" }, 460.0)
        val alone = SharingSimulation(64, seed).run(small + base, 60_000)
        val during = SharingSimulation(64, seed).run(small + base + large, 60_000)
        val common = SharingSimulation(64, seed, callerOf = { "everyone" }).run(small + base + large, 60_000)
        val waits = listOf(alone, during, common).map { run -> small.flatMap { run.getValue(it).waits }.sorted() }
        val p99 = waits.map { it[(it.size * 0.99).toInt()] }
        val served = listOf(during, common).map { run -> small.map { run.getValue(it).servedShare } }
        val jain = served[0].sum() * served[0].sum() / (served[0].size * served[0].sumOf { it * it })
        println("measured: small callers p99 alone ${p99[0]}, during ${p99[1]}, common queue ${p99[2]} ms, Jain $jain")
        expectThat(jain).isGreaterThanOrEqualTo(0.98)
        expectThat(served[0].min()).isGreaterThanOrEqualTo(0.99)
        expectThat(p99[1]).isLessThan(150)
        // In one common queue the small callers wait longer and most of their requests are refused.
        expectThat(p99[2]).isGreaterThan(2 * p99[1])
        expectThat(served[1].max()).isLessThan(0.6)
    }
}
