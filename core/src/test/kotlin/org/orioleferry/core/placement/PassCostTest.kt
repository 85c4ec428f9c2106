package org.orioleferry.core.placement

import org.junit.jupiter.api.Test
import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.Guarantee
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.PlacementKind
import org.orioleferry.core.model.WorkspaceName
import strikt.api.expectThat
import strikt.assertions.isLessThan
import kotlin.math.ln
import kotlin.random.Random

class PassCostTest {
    /** Creates a fleet of 17 accelerators per worker with 16 or 17 tasks (16.5 on average) on each. */
    private fun createFleet(workerCount: Int): FleetSnapshot {
        val random = Random(SEED)
        val workers = fleetOf(workerCount, accelerators = 17)
        val gangs =
            workers.flatMapIndexed { index, worker ->
                List(if (index % 2 == 0) 16 else 17) { task ->
                    val id = JobId.of(testDataCentre, "r$index-$task")
                    val name = WorkspaceName("s${random.nextInt(260)}")
                    val members = listOf(PlacementMember(worker.id, 1))
                    PlacedGang(id, name, JobClassName("c5"), 5, true, members, lostWorkMs = random.nextLong(1_000_000))
                }
            }
        val used = gangs.flatMap { it.members }.groupingBy { it.worker }.eachCount()
        val guarantees =
            (0 until workerCount / 10).associate {
                WorkspaceName("s$it") to
                    listOf(Guarantee(testDataCentre, 4, 8))
            }
        val present = workers.map { it.copy(free = it.accelerators - (used[it.id] ?: 0)) }
        return FleetSnapshot(testDataCentre, 1_000_000, present, gangs, guarantees)
    }

    /** Creates [count] waiting jobs; the test asks for about twice as many as workers. */
    private fun createWaiting(count: Int): List<WaitingJob> {
        val random = Random(SEED + 1)
        val shapes = listOf(Gang(1, 1), Gang(1, 8), Gang(4, 4), Gang(16, 1), Gang(64, 1), Gang(2, 8, Adjacency.RACK))
        return List(count) {
            val urgency = random.nextInt(10)
            val name = WorkspaceName("s${random.nextInt(260)}")
            val id = JobId.of(testDataCentre, "w%05d".format(it))
            WaitingJob(id, name, JobClassName("c$urgency"), shapes.random(random), urgency, urgency > 1)
        }
    }

    // Guards against a pass whose cost grows with the product of waiting jobs and workers.
    @Test
    fun `the counted steps of a pass should grow at most as n log n`() {
        for (kind in PlacementKind.entries) {
            val perUnit =
                listOf(243, 485, 970).map { workerCount ->
                    val fleet = createFleet(workerCount)
                    val jobs = createWaiting(workerCount * 2_000 / 970)
                    val policy = placementPolicyOf(kind)
                    repeat(3) { policy(fleet, jobs) }
                    val startNs = System.nanoTime()
                    val plan = policy(fleet, jobs)
                    val wallMs = (System.nanoTime() - startNs) / 1_000_000
                    val size = fleet.gangs.size + workerCount + jobs.size
                    println("$kind workers=$workerCount size=$size steps=${plan.steps} wallMs=$wallMs")
                    plan.steps / (size * ln(size.toDouble()))
                }
            println("$kind steps per n ln n: $perUnit")
            expectThat(perUnit.last()).isLessThan(perUnit.first() * 1.1)
        }
    }

    // Guards against a packing policy that spreads small jobs over more workers than first fit does.
    @Test
    fun `best fit should leave room for a large gang at least as often as first fit`() {
        val shares = PlacementKind.entries.associateWith(::measureShareWithRoom)
        println("share of samples in which 2 x 8 in a rack fits at 80% load: $shares")
        expectThat(shares.getValue(PlacementKind.FIRST_FIT)).isLessThan(shares.getValue(PlacementKind.BEST_FIT) + 0.01)
    }

    private fun measureShareWithRoom(kind: PlacementKind): Double {
        val random = Random(SEED)
        val simulation = PlacementSimulation(placementPolicyOf(kind), fleetOf(32))
        val ends = HashMap<JobId, Long>()
        val sizes = listOf(1, 1, 2, 2, 4, 8)
        var samplesWithRoom = 0
        var samples = 0
        for (minute in 0L until 4_000L) {
            simulation.nowMs = minute * 60_000
            simulation.gangs.keys
                .filter { ends.getValue(it) <= minute }
                .forEach { simulation.gangs.remove(it) }
            while (simulation.gangs.values.sumOf { it.accelerators } + simulation.waiting.size < LOAD_ACCELERATORS) {
                val job = simulation.submit(Gang(1, sizes.random(random)))
                ends[job.jobId] = minute + random.nextLong(5, 240)
                simulation.pass()
            }
            if (minute < 400) continue
            samples++
            val space = FreeSpace(simulation.snapshot().workers)
            if (space.find(Gang(2, 8, Adjacency.RACK), FitOrder.TIGHTEST) { true } != null) samplesWithRoom++
        }
        return samplesWithRoom.toDouble() / samples
    }

    private companion object {
        const val SEED = 20_261_204
        const val LOAD_ACCELERATORS = 32 * 8 * 8 / 10
    }
}
