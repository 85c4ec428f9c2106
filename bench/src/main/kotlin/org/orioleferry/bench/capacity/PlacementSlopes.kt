package org.orioleferry.bench.capacity

import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.Guarantee
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.PlacementKind
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.placement.FleetSnapshot
import org.orioleferry.core.placement.PlacedGang
import org.orioleferry.core.placement.PlacementMember
import org.orioleferry.core.placement.PlacementWorker
import org.orioleferry.core.placement.WaitingJob
import org.orioleferry.core.placement.placementPolicyOf
import java.lang.management.ManagementFactory
import kotlin.random.Random

/** Measures steps and processor time of one pass of the guarantee-aware policy over a busy fleet. */
internal object PlacementSlopes {
    private val dataCentre = DataCentre("split-a")
    private val policy = placementPolicyOf(PlacementKind.GUARANTEE_AWARE)

    fun measure(): List<Slope> {
        repeat(WARM_UPS) { measurePass(FLEET_WORKERS, WAITING_JOBS) }
        val byJobs = listOf(125, 250, 500, 1_000, 2_000).associateWith { measurePass(FLEET_WORKERS, it) }
        val byWorkers = listOf(97, 194, 388, 970).associateWith { measurePass(it, WAITING_JOBS) }
        return listOf(
            slopeOf(SlopeKey.STEPS_JOBS, byJobs.map { Point(it.key.toDouble(), it.value.first) }),
            slopeOf(SlopeKey.PASS_JOBS, byJobs.map { Point(it.key.toDouble(), it.value.second) }),
            slopeOf(SlopeKey.STEPS_WORKERS, byWorkers.map { Point(it.key.toDouble(), it.value.first) }),
            slopeOf(SlopeKey.PASS_WORKERS, byWorkers.map { Point(it.key.toDouble(), it.value.second) }),
        )
    }

    /** Returns the number of steps and the median processor time of one pass in milliseconds. */
    private fun measurePass(
        workers: Int,
        waiting: Int,
    ): Pair<Double, Double> {
        val random = Random(workers * SEED_MULTIPLIER + waiting)
        val fleet = createBusyFleet(workers, random)
        val jobs = List(waiting) { createWaitingJob(it, random) }
        val threads = ManagementFactory.getThreadMXBean()
        val times =
            List(PASSES) {
                val beforeNanos = threads.currentThreadCpuTime
                policy(fleet, jobs)
                (threads.currentThreadCpuTime - beforeNanos) / NANOS_PER_MS
            }
        return policy(fleet, jobs).steps.toDouble() to times.sorted()[PASSES / 2]
    }

    private fun createBusyFleet(
        count: Int,
        random: Random,
    ): FleetSnapshot {
        val workers =
            List(count) {
                PlacementWorker(WorkerId("w%04d".format(it)), "rack-${it / RACK_SIZE}", 8, random.nextInt(4))
            }
        val gangs =
            workers.mapIndexed { index, worker ->
                val member = PlacementMember(worker.id, worker.accelerators - worker.free)
                PlacedGang(
                    JobId.of(dataCentre, "r$index"),
                    workspace(random),
                    JobClassName("c5"),
                    5,
                    true,
                    listOf(member),
                )
            }
        val guarantees =
            (0 until WORKSPACES).associate { WorkspaceName("team-$it") to listOf(Guarantee(dataCentre, 1, 2)) }
        return FleetSnapshot(dataCentre, 0, workers, gangs, guarantees)
    }

    private fun createWaitingJob(
        index: Int,
        random: Random,
    ): WaitingJob {
        val members = listOf(1, 1, 1, 2, 4, 8, 64)[random.nextInt(7)]
        val gang = Gang(members, 1 + random.nextInt(4), Adjacency.DATA_CENTRE)
        val urgency = random.nextInt(10)
        val name = JobClassName("c$urgency")
        return WaitingJob(JobId.of(dataCentre, "q$index"), workspace(random), name, gang, urgency, urgency > 1)
    }

    private fun workspace(random: Random) = WorkspaceName("team-${random.nextInt(WORKSPACES)}")

    private const val FLEET_WORKERS = 194
    private const val WAITING_JOBS = 500
    private const val WORKSPACES = 52
    private const val RACK_SIZE = 6
    private const val PASSES = 9
    private const val WARM_UPS = 4
    private const val SEED_MULTIPLIER = 31
    private const val NANOS_PER_MS = 1e6
}
