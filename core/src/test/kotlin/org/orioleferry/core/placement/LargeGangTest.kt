package org.orioleferry.core.placement

import org.junit.jupiter.api.Test
import org.orioleferry.core.guarantee.guaranteeShortfall
import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.Guarantee
import org.orioleferry.core.model.WorkspaceName
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import kotlin.random.Random

class LargeGangTest {
    private val guarantees =
        mapOf(
            WorkspaceName("reprints") to
                listOf(Guarantee(testDataCentre, 1, 16, Adjacency.RACK), Guarantee(testDataCentre, 1, 8)),
            WorkspaceName("forecasts") to listOf(Guarantee(testDataCentre, 2, 8)),
            WorkspaceName("orders") to listOf(Guarantee(testDataCentre, 1, 8)),
            WorkspaceName("quality") to listOf(Guarantee(testDataCentre, 1, 8)),
        )
    private val large = Gang(4, 8)

    // Guards against a gang that waits forever, since neither its guarantee nor the spare accelerators alone hold it.
    @Test
    fun `a gang larger than each block of its workspace should start on blocks and spare accelerators together`() {
        val simulation = PlacementSimulation(guaranteeAware, fleetOf(8), guarantees)
        repeat(8) { simulation.submit(Gang(1, 8), "forecasts") }
        simulation.pass()
        val job = simulation.submit(large, "reprints", urgency = 2, isPreemptible = false)
        simulation.pass()
        expectThat(simulation.gangs.keys).contains(job.jobId)
        expectThat(guaranteeShortfall(simulation.snapshot())).isEmpty()
    }

    // Guards against a large gang on parts of other guarantees, which their workspaces could not reclaim from it.
    @Test
    fun `guarantees of other workspaces should start at once beside a large gang`() {
        for (seed in 1L..100L) {
            val random = Random(seed)
            val simulation = PlacementSimulation(guaranteeAware, fleetOf(8), guarantees)
            repeat(20) {
                simulation.submit(Gang(1 + random.nextInt(2), 1 shl random.nextInt(4)), "forecasts", 5)
                if (random.nextInt(4) == 0) simulation.submit(large, "reprints", 2, isPreemptible = false)
                simulation.nowMs += 1_000
                simulation.pass()
                val ended = simulation.gangs.keys.filter { random.nextInt(8) == 0 }
                ended.forEach { simulation.gangs.remove(it) }
            }
            simulation.waiting.clear()
            val owners = listOf("forecasts", "forecasts", "orders", "quality")
            val asked = owners.map { simulation.submit(Gang(1, 8), it, urgency = 0, isPreemptible = false) }
            simulation.pass()
            expectThat(asked.filter { it.jobId !in simulation.gangs }).isEmpty()
        }
    }
}
