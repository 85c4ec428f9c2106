package org.orioleferry.core.guarantee

import net.jqwik.api.Assume
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.LongRange
import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.Guarantee
import org.orioleferry.core.model.Workspace
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.placement.PlacementPolicy
import org.orioleferry.core.placement.PlacementSimulation
import org.orioleferry.core.placement.firstFit
import org.orioleferry.core.placement.fleetOf
import org.orioleferry.core.placement.guaranteeAware
import org.orioleferry.core.placement.testDataCentre
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import kotlin.random.Random

class GuaranteePropertyTest {
    // Guards against placements after which the guaranteed shapes do not all fit at once, even if all borrowers stop.
    @Property(tries = 1000, seed = "20261204")
    fun `all unused guaranteed shapes should start at once from any reachable state`(
        @ForAll @IntRange(min = 2, max = 14) workerCount: Int,
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long,
    ) {
        val random = Random(seed)
        val guarantees = randomGuarantees(random, workerCount)
        Assume.that(excessOf(guarantees, workerCount).isEmpty())
        expectThat(findUnstartedShapes(guaranteeAware, random, guarantees, workerCount)).isEmpty()
    }

    // Guards against a property test above that passes for every policy and so detects nothing: first fit has to fail.
    @Property(tries = 1, seed = "20261204")
    fun `first fit should violate guarantees on the same streams`() {
        val violations =
            (1L..100L).count { seed ->
                val random = Random(seed)
                val guarantees = randomGuarantees(random, WORKERS)
                excessOf(guarantees, WORKERS).isEmpty() &&
                    findUnstartedShapes(firstFit, random, guarantees, WORKERS).isNotEmpty()
            }
        expectThat(violations).isGreaterThan(10)
    }

    // Guards against accepting a note that guarantees more accelerators than the fleet has.
    @Property(tries = 100, seed = "20261204")
    fun `guarantees beyond the fleet should be refused with the numbers`(
        @ForAll @IntRange(min = 1, max = 20) workerCount: Int,
    ) {
        val guarantees =
            mapOf(
                sheds to listOf(Guarantee(testDataCentre, workerCount, 8), Guarantee(testDataCentre, 1, 1)),
            )
        val excess = excessOf(guarantees, workerCount)
        expectThat(excess.single().toString().contains("${workerCount * 8 + 1} accelerators are guaranteed")).isTrue()
        val fitting = mapOf(sheds to listOf(Guarantee(testDataCentre, workerCount, 8)))
        expectThat(excessOf(fitting, workerCount)).isEmpty()
    }

    private fun excessOf(
        guarantees: Map<WorkspaceName, List<Guarantee>>,
        workerCount: Int,
    ) = excessiveGuarantees(
        Configuration(workspaces = guarantees.mapValues { (name, list) -> Workspace(name, guarantees = list) }),
        mapOf(testDataCentre to fleetOf(workerCount)),
    )

    private fun randomGuarantees(
        random: Random,
        workerCount: Int,
    ): Map<WorkspaceName, List<Guarantee>> =
        listOf(sheds, audit, refills).associateWith {
            List(random.nextInt(3)) {
                val (accelerators, adjacency) = SHAPES.random(random)
                Guarantee(testDataCentre, 1 + random.nextInt(1 + workerCount / 4), accelerators, adjacency)
            }
        }

    /** Runs a random stream of jobs, then submits every unused guaranteed shape at once; returns those not started. */
    private fun findUnstartedShapes(
        policy: PlacementPolicy,
        random: Random,
        guarantees: Map<WorkspaceName, List<Guarantee>>,
        workerCount: Int,
    ): List<Any> {
        val simulation = PlacementSimulation(policy, fleetOf(workerCount), guarantees)
        repeat(30) {
            repeat(random.nextInt(6)) { simulation.submitRandom(random, guarantees) }
            simulation.nowMs += 1_000
            simulation.pass()
            simulation.gangs.keys
                .filter { random.nextInt(8) == 0 }
                .forEach { simulation.gangs.remove(it) }
        }
        simulation.waiting.clear()
        val submitted =
            unusedShapes(simulation, guarantees).map { (name, gang) ->
                simulation.submit(gang, name.value, 0, false)
            }
        simulation.pass()
        return submitted.filter { it.jobId !in simulation.gangs }
    }

    private fun PlacementSimulation.submitRandom(
        random: Random,
        guarantees: Map<WorkspaceName, List<Guarantee>>,
    ) {
        val shapes = unusedShapes(this, guarantees) - waiting.values.map { it.workspace to it.gang }.toSet()
        when (random.nextInt(4)) {
            0 -> shapes.randomOrNull(random)?.let { (name, gang) -> submit(gang, name.value, random.nextInt(2), false) }
            1 -> submit(Gang(1 + random.nextInt(2), 1 shl random.nextInt(4)), "none", 5, isPreemptible = false)
            else -> {
                val owner = listOf("none", sheds.value, audit.value).random(random)
                submit(Gang(1 + random.nextInt(3), 1 shl random.nextInt(4)), owner, 4 + random.nextInt(5))
            }
        }
    }

    private fun unusedShapes(
        simulation: PlacementSimulation,
        guarantees: Map<WorkspaceName, List<Guarantee>>,
    ): List<Pair<WorkspaceName, Gang>> =
        guarantees.flatMap { (name, list) ->
            val used =
                simulation.gangs.values
                    .filter { it.workspace == name && !it.isPreemptible }
                    .map { it.shape }
                    .toMutableList()
            list
                .flatMap { guarantee -> List(guarantee.count) { guarantee.toGang() } }
                .filterNot { gang -> used.remove(gang.members to gang.acceleratorsPerMember) }
                .map { name to it }
        }

    private val org.orioleferry.core.placement.PlacedGang.shape get() = members.size to members.first().accelerators

    private fun Guarantee.toGang(): Gang =
        if (adjacency == Adjacency.WORKER) Gang(1, accelerators, adjacency) else Gang(accelerators / 8, 8, adjacency)

    private companion object {
        const val WORKERS = 8
        val sheds = WorkspaceName("sheds")
        val audit = WorkspaceName("audit")
        val refills = WorkspaceName("refills")
        val SHAPES =
            listOf(
                8 to Adjacency.WORKER,
                4 to Adjacency.WORKER,
                2 to Adjacency.WORKER,
                16 to Adjacency.RACK,
                24 to Adjacency.DATA_CENTRE,
            )
    }
}
