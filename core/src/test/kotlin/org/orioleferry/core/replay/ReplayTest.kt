package org.orioleferry.core.replay

import org.junit.jupiter.api.Test
import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.placement.PlacementPlan
import org.orioleferry.core.placement.PlacementPolicy
import org.orioleferry.core.placement.PlannedReclaim
import org.orioleferry.core.placement.firstFit
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo

class ReplayTest {
    private val deployment = Deployment.all.getValue("kalamata")
    private val domain = DataCentre("kalamata-a")

    private fun job(
        id: String,
        submittedMs: Long,
        members: Int = 8,
        cancelAfterMs: Long? = null,
        workMs: Long = 100_000,
    ) = StreamJob(
        id = id,
        submittedMs = submittedMs,
        workspace = WorkspaceName("reconciliation"),
        caller = "audit",
        jobClass = JobClassName("season-reconciliation"),
        gang = Gang(members, 8, Adjacency.DATA_CENTRE),
        declaredRunMs = 1,
        workMs = workMs,
        dataCentre = domain,
        cancelAfterMs = cancelAfterMs,
    )

    private fun ends(
        jobs: List<StreamJob>,
        policy: PlacementPolicy = firstFit,
    ) = replay(deployment, jobs, policy).jobs.sortedBy { it.job.id }

    // Guards against two jobs on the same accelerators, and against a cancellation that does not free them.
    @Test
    fun `gangs of a whole data centre should run one after the other and free it when cancelled`() {
        val result =
            ends(
                listOf(
                    job("a", 0),
                    job("b", 10),
                    job("c", 20, cancelAfterMs = 5),
                    job("d", 30, cancelAfterMs = 100_070),
                ),
            )
        expectThat(result.map { it.firstStartMs to it.endedMs }).containsExactly(
            0L to 100_000L,
            100_000L to 200_000L,
            null to 25L,
            null to 100_100L,
        )
        val cancelledWhileRunning = ends(listOf(job("a", 0, cancelAfterMs = 50), job("b", 10)))
        expectThat(cancelledWhileRunning.last().firstStartMs).isEqualTo(50)
    }

    // Guards against a replay that never ends when a job can never run or the policy starts nothing.
    @Test
    fun `jobs that cannot run should be reported separately from jobs that the policy never starts`() {
        val never: PlacementPolicy = { _, _ -> PlacementPlan(emptyList()) }
        val result = ends(listOf(job("a", 0), job("b", 0, members = 9)), never)
        expectThat(result.map { it.end }).containsExactly(ReplayEnd.NEVER_STARTED, ReplayEnd.NEVER_FITS)
    }

    // Guards against a stopped job that loses its kept work or is counted as finished.
    @Test
    fun `a job that is stopped for another should wait again and keep its work`() {
        val preempting: PlacementPolicy = { fleet, waiting ->
            val victim = fleet.gangs.singleOrNull { it.jobId == JobId.of(domain, "a") && !it.isStopping }
            val urgent = waiting.find { it.jobId == JobId.of(domain, "b") }
            if (victim != null && urgent != null && fleet.reclaims.isEmpty()) {
                val reclaim = PlannedReclaim(urgent.jobId, urgent.workspace, victim.members, listOf(victim.jobId))
                PlacementPlan(emptyList(), listOf(reclaim))
            } else {
                firstFit(fleet, waiting)
            }
        }
        val (stopped, urgent) = ends(listOf(job("a", 0), job("b", 40_000)), preempting)
        expectThat(urgent.firstStartMs).isEqualTo(41_200)
        expectThat(urgent.endedMs).isEqualTo(141_200)
        expectThat(stopped.stops).isEqualTo(1)
        expectThat(stopped.endedMs).isEqualTo(201_200)
    }

    // Guards against a replay that never ends when two jobs stop each other in turns.
    @Test
    fun `jobs that stop each other in turns should be dropped at the limit and counted`() {
        val alternating: PlacementPolicy = { fleet, waiting ->
            val victim = fleet.gangs.singleOrNull { !it.isStopping }
            val next = waiting.firstOrNull()
            if (victim != null && next != null && fleet.reclaims.isEmpty()) {
                PlacementPlan(
                    emptyList(),
                    listOf(PlannedReclaim(next.jobId, next.workspace, victim.members, listOf(victim.jobId))),
                )
            } else {
                firstFit(fleet, waiting)
            }
        }
        val long = 100_000_000L
        val result = ends(listOf(job("a", 0, workMs = long), job("b", 0, workMs = long)), alternating)
        expectThat(result.map { it.end }).containsExactly(ReplayEnd.STOPPED_TOO_OFTEN, ReplayEnd.DONE)
    }

    // Guards against measuring a plan that no fleet could carry out.
    @Test
    fun `a plan that overbooks a worker should stop the replay`() {
        val idle = deployment.workers(domain)
        val overbooking: PlacementPolicy = { fleet, waiting ->
            firstFit(fleet.copy(workers = idle, gangs = emptyList()), waiting)
        }
        expectThrows<IllegalStateException> { ends(listOf(job("a", 0), job("b", 1)), overbooking) }
    }

    // Guards against a bound above what a schedule reaches, which would make every policy look better than it is.
    @Test
    fun `no replay should beat the bound, and a single queue should reach it`() {
        for (seed in 1L..5L) {
            val day = generateDay(deployment, seed, DayParameters(load = 1.2, jobs = 150))
            val done = replay(deployment, day, firstFit).jobs.filter { it.end == ReplayEnd.DONE }
            val bound = meanSlowdownBound(done.map { it.job }, deployment.acceleratorsPerDataCentre)
            expectThat(bound).isGreaterThanOrEqualTo(1.0)
            expectThat(bound).isLessThanOrEqualTo(done.mapNotNull { it.slowdown }.average())
        }
        val queue = listOf(job("a", 0), job("b", 0, workMs = 300_000), job("c", 0, workMs = 200_000))
        val best = (1.0 + 600.0 / 300 + 300.0 / 200) / 3
        expectThat(meanSlowdownBound(queue, deployment.acceleratorsPerDataCentre)).isGreaterThanOrEqualTo(best - 1e-9)
        expectThat(meanSlowdownBound(queue, deployment.acceleratorsPerDataCentre)).isLessThanOrEqualTo(best + 1e-9)
    }

    // Guards against days that differ between machines or lack the difficult cases on which policies are compared.
    @Test
    fun `a generated day should be repeatable, contain the difficult cases and have the stated load`() {
        Deployment.all.values.forEach { deployment ->
            val day = generateDay(deployment, 3)
            expectThat(generateDay(deployment, 3)).isEqualTo(day)
            val demand =
                day
                    .filter {
                        it.cancelAfterMs == null &&
                            it.gang.accelerators <= 64 &&
                            it.gang.acceleratorsPerMember <= 8
                    }.sumOf { it.gang.accelerators.toDouble() * minOf(it.workMs, 86_400_000 - it.submittedMs) }
            expectThat(demand / (256.0 * 86_400_000)).isGreaterThanOrEqualTo(0.79).isLessThanOrEqualTo(0.81)
            expectThat(day.maxOf { it.gang.accelerators }).isGreaterThanOrEqualTo(64)
            expectThat(day.count { it.gang.accelerators == 64 }).isGreaterThanOrEqualTo(1)
            expectThat(
                day.count { it.gang.accelerators > 64 || it.gang.acceleratorsPerMember > 8 },
            ).isGreaterThanOrEqualTo(1)
            expectThat(day.count { it.cancelAfterMs != null }).isGreaterThanOrEqualTo(10)
            expectThat(day.map { it.declaredRunMs.toDouble() / it.workMs })
                .all { isGreaterThanOrEqualTo(0.099).isLessThanOrEqualTo(10.01) }
        }
    }

    // Guards against a stream that is read only in part, so that policies are compared on other work than recorded.
    @Test
    fun `a stream should be read as written and every faulty line should be reported`() {
        val day = generateDay(deployment, 9)
        expectThat(readStream(day.map { it.toJsonLine() })).isEqualTo(StreamResult.Loaded(day))
        val lines = listOf(job("a", 0).toJsonLine(), "", "{", job("b", -1).toJsonLine(), job("a", 5).toJsonLine())
        val problems = (readStream(lines) as StreamResult.Rejected).problems
        expectThat(problems.keys.toList()).containsExactly(3, 4, 5)
    }

    // Guards against measures that differ between evaluations of the same stream.
    @Test
    fun `measuring twice should give the same figures`() {
        val day = generateDay(deployment, 5)
        val (result, measures) = measurePolicy(deployment, day, firstFit)
        expectThat(measurePolicy(deployment, day, firstFit).second).isEqualTo(measures)
        expectThat(result.jobs).hasSize(day.size)
        expectThat(p99(List(100) { it.toDouble() })).isEqualTo(98.0)
    }
}
