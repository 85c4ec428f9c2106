package org.orioleferry.core.placement

import org.junit.jupiter.api.Test
import org.orioleferry.core.guarantee.guaranteeShortfall
import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.Guarantee
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.PlacementKind
import org.orioleferry.core.model.Policy
import org.orioleferry.core.model.WorkspaceName
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue

class PolicyTest {
    private val sheds = WorkspaceName("sheds")

    // Guards against small jobs that are spread over idle workers, so that large gangs find no whole worker.
    @Test
    fun `best fit should fill partly used workers before idle ones`() {
        val simulation = PlacementSimulation(bestFit, fleetOf(6))
        simulation.submit(Gang(1, 5))
        simulation.pass()
        simulation.submit(Gang(1, 1))
        simulation.submit(Gang(1, 2))
        simulation.pass()
        expectThat(
            simulation.gangs.values
                .map { it.members.single().worker }
                .distinct(),
        ).isEqualTo(
            listOf(simulation.workers[0].id),
        )
    }

    // Guards against a large gang that waits forever while small jobs take all accelerators that become free.
    @Test
    fun `a large gang should start although small jobs keep arriving`() {
        for (policy in listOf(bestFit, guaranteeAware)) {
            val simulation = PlacementSimulation(policy, fleetOf(4))
            repeat(32) { simulation.submit(Gang(1, 1)) }
            simulation.pass()
            val large = simulation.submit(Gang(4, 8))
            repeat(60) {
                simulation.nowMs += 1_000
                simulation.gangs.keys
                    .firstOrNull { it != large.jobId }
                    ?.let { simulation.gangs.remove(it) }
                simulation.submit(Gang(1, 1))
                simulation.pass()
            }
            expectThat(simulation.gangs.keys).contains(large.jobId)
        }
    }

    // Guards against reserved workers that stay idle although a short job would end before the reservation.
    @Test
    fun `short jobs should be backfilled on reserved workers`() {
        val runTimes =
            mapOf(JobClassName("long") to RunTimes(60_000, 60_000, 20), JobClassName("short") to RunTimes(500, 900, 20))
        val simulation = PlacementSimulation(bestFit, fleetOf(2), runTimes = runTimes)
        simulation.submit(Gang(1, 8), jobClass = "long")
        simulation.pass()
        simulation.submit(Gang(2, 8))
        simulation.nowMs += 1_000
        val long = simulation.submit(Gang(1, 2), jobClass = "long")
        val short = simulation.submit(Gang(1, 2), jobClass = "short")
        simulation.pass()
        expectThat(simulation.gangs.keys).contains(short.jobId).not().contains(long.jobId)
    }

    // Guards against urgent work that waits for routine work on a full fleet.
    @Test
    fun `urgent work should reclaim its guarantee from the borrowers that lose least`() {
        val simulation =
            PlacementSimulation(
                guaranteeAware,
                fleetOf(3),
                mapOf(
                    sheds to listOf(Guarantee(testDataCentre, 1, 8)),
                ),
            )
        val old = simulation.submit(Gang(1, 8), "audit")
        simulation.pass()
        simulation.nowMs += 60_000
        val young = List(2) { simulation.submit(Gang(1, 8), "audit") }
        simulation.pass()
        simulation.nowMs += 1_000
        val urgent = simulation.submit(Gang(1, 8), "sheds", urgency = 0, isPreemptible = false)
        val plan = simulation.pass()
        expectThat(plan.reclaims.single().beneficiary).isEqualTo(urgent.jobId)
        expectThat(
            plan.reclaims
                .single()
                .victims
                .single(),
        ).isNotEqualTo(old.jobId)
        expectThat(young.map { it.jobId }).contains(
            plan.reclaims
                .single()
                .victims
                .single(),
        )
    }

    // Guards against a workspace that reclaims more than its guarantee.
    @Test
    fun `work within a guarantee should not be stopped for another workspace`() {
        val guarantees =
            mapOf(
                sheds to listOf(Guarantee(testDataCentre, 1, 8)),
                WorkspaceName("audit") to listOf(Guarantee(testDataCentre, 1, 8)),
            )
        val simulation = PlacementSimulation(guaranteeAware, fleetOf(2), guarantees)
        simulation.submit(Gang(1, 8), "audit", urgency = 7)
        simulation.submit(Gang(1, 8), "sheds", urgency = 0, isPreemptible = false)
        simulation.pass()
        simulation.submit(Gang(1, 8), "sheds", urgency = 0, isPreemptible = false)
        expectThat(simulation.pass().reclaims).isEmpty()
    }

    // Guards against two gangs of one workspace that stop each other in turns, since neither is covered at its start.
    @Test
    fun `preemptible gangs of one workspace and class should not stop each other`() {
        val simulation =
            PlacementSimulation(
                guaranteeAware,
                fleetOf(4),
                mapOf(
                    sheds to listOf(Guarantee(testDataCentre, 2, 8)),
                ),
            )
        simulation.occupyHalf(0)
        simulation.occupyHalf(1)
        val first = simulation.submit(Gang(4, 4))
        simulation.pass()
        val second = simulation.submit(Gang(4, 4))
        repeat(20) {
            simulation.nowMs += 1_200
            simulation.pass()
        }
        expectThat(simulation.preempted).isEqualTo(0)
        simulation.gangs.remove(first.jobId)
        simulation.pass()
        expectThat(simulation.gangs.keys).contains(second.jobId)
    }

    // Guards against gangs of two workspaces that stop each other in turns, each outside its guaranteed parts.
    @Test
    fun `gangs of two workspaces should not keep stopping each other`() {
        val guarantees =
            mapOf(
                sheds to listOf(Guarantee(testDataCentre, 1, 8)),
                WorkspaceName("audit") to listOf(Guarantee(testDataCentre, 1, 8)),
            )
        val simulation = PlacementSimulation(guaranteeAware, fleetOf(4), guarantees)
        simulation.occupyHalf(0)
        simulation.occupyHalf(1)
        repeat(2) { simulation.submit(Gang(2, 4), "audit") }
        simulation.submit(Gang(4, 2), "audit")
        simulation.pass()
        repeat(2) { simulation.submit(Gang(2, 4), "sheds") }
        repeat(5) {
            simulation.nowMs += 1_200
            simulation.pass()
        }
        val preemptedBefore = simulation.preempted
        repeat(20) {
            simulation.nowMs += 1_200
            simulation.pass()
        }
        expectThat(simulation.preempted).isEqualTo(preemptedBefore)
    }

    private fun PlacementSimulation.occupyHalf(index: Int) {
        val id = JobId.of(testDataCentre, "fixed$index")
        val members = listOf(PlacementMember(workers[index].id, 4))
        gangs[id] = PlacedGang(id, WorkspaceName("none"), JobClassName("fixed"), 3, false, members)
    }

    // Guards against a quota that is ignored by one of the policies.
    @Test
    fun `no policy should exceed a quota`() {
        for (policy in listOf(firstFit, bestFit, guaranteeAware)) {
            val waiting =
                List(4) { PlacementSimulation(policy, emptyList()).submit(Gang(1, 4)) }.mapIndexed { index, job ->
                    job.copy(jobId = JobId("split-a.$index"))
                }
            val fleet = FleetSnapshot(testDataCentre, 0, fleetOf(4), quotas = mapOf(sheds to 8))
            expectThat(policy(fleet, waiting).starts.size).isEqualTo(2)
        }
    }

    // Guards against a lost rack that is not reported or is counted as reclaimable capacity.
    @Test
    fun `lost workers should be reported as a shortfall of the guarantee`() {
        val guarantees = mapOf(sheds to listOf(Guarantee(testDataCentre, 2, 16, Adjacency.RACK)))
        val workers = fleetOf(4, perRack = 2)
        val whole = FleetSnapshot(testDataCentre, 0, workers, guarantees = guarantees)
        expectThat(guaranteeShortfall(whole)).isEmpty()
        val lost = whole.copy(workers = workers.map { it.copy(isUsable = it.rack == "rack-0") })
        expectThat(guaranteeShortfall(lost)[sheds]).isEqualTo(16)
    }

    // Guards against a note for the policy of one data centre that also changes the policy of others.
    @Test
    fun `a policy that names a data centre should be in force only there`() {
        val policies =
            listOf(
                Policy("default", PlacementKind.BEST_FIT),
                Policy("trial", PlacementKind.FIRST_FIT, listOf(testDataCentre)),
            )
        val configuration = Configuration(policies = policies.associateBy { it.name })
        val kinds = listOf(testDataCentre, DataCentre("solin")).map { configuration.placementKindOf(it) }
        expectThat(kinds).containsExactly(PlacementKind.FIRST_FIT, PlacementKind.BEST_FIT)
        expectThat(Configuration().placementKindOf(testDataCentre) == PlacementKind.GUARANTEE_AWARE).isTrue()
    }
}
