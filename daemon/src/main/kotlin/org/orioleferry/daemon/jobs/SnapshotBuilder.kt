package org.orioleferry.daemon.jobs

import org.orioleferry.core.Clock
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.placement.FleetSnapshot
import org.orioleferry.core.placement.PlacedGang
import org.orioleferry.core.placement.PlacementMember
import org.orioleferry.core.placement.PlacementWorker
import org.orioleferry.core.placement.PlannedReclaim
import org.orioleferry.core.placement.RunTimes
import org.orioleferry.core.placement.WaitingJob

/** Builds the arguments of a placement policy from the state of the owner. */
internal class SnapshotBuilder(
    private val configuration: Configuration,
    private val domain: DataCentre,
    private val fleet: Fleet,
    private val clock: Clock,
) {
    fun buildFleet(
        runs: Collection<GangRun>,
        history: RunHistory,
        reclaims: List<PlannedReclaim> = emptyList(),
    ): FleetSnapshot {
        val heldByWorker = HashMap<WorkerId, Int>()
        runs.forEach { run ->
            run.heldAccelerators().forEach { (worker, amount) -> heldByWorker.merge(worker, amount, Int::plus) }
        }
        return FleetSnapshot(
            dataCentre = domain,
            nowMs = clock.monotonicMs(),
            workers = buildWorkers(heldByWorker),
            gangs = runs.map(::buildGang).filter { it.members.isNotEmpty() },
            guarantees =
                configuration.workspaces.mapValues { (_, workspace) ->
                    workspace.guarantees.filter { it.dataCentre == domain }
                },
            quotas =
                configuration.workspaces.values
                    .mapNotNull { workspace ->
                        workspace.quotas.find { it.dataCentre == domain }?.let {
                            workspace.name to
                                it.accelerators
                        }
                    }.toMap(),
            runTimes = history.runTimes(),
            reclaims = reclaims,
        )
    }

    fun buildWaitingJob(record: JobRecord): WaitingJob {
        val jobClass = classOf(record.jobClass)
        return WaitingJob(
            jobId = record.jobId,
            workspace = record.workspace,
            jobClass = record.jobClass,
            gang = record.gang,
            urgency = jobClass.urgency,
            isPreemptible = jobClass.preemptible,
            submittedMs = record.submittedWallMs,
            excludedWorkers = record.failedWorkers.toSet(),
        )
    }

    private fun buildWorkers(heldByWorker: Map<WorkerId, Int>): List<PlacementWorker> =
        fleet.listed().mapNotNull { upstream ->
            val capacity = fleet.statusOf(upstream.id)?.accelerators ?: return@mapNotNull null
            val free = capacity - (heldByWorker[upstream.id] ?: 0)
            PlacementWorker(upstream.id, upstream.rack, capacity, free, fleet.isUsable(upstream))
        }

    private fun buildGang(run: GangRun): PlacedGang {
        val record = run.job.record
        val jobClass = classOf(record.jobClass)
        val members = run.heldAccelerators().map { (worker, amount) -> PlacementMember(worker, amount) }
        return PlacedGang(
            jobId = record.jobId,
            workspace = record.workspace,
            jobClass = record.jobClass,
            urgency = jobClass.urgency,
            isPreemptible = jobClass.preemptible,
            members = members,
            startedMs = run.startedMs,
            lostWorkMs = (clock.monotonicMs() - run.startedMs) * members.sumOf { it.accelerators },
            isStopping = run.isStopping,
        )
    }

    // Jobs whose class was removed from the configuration while they run are treated as not preemptible.
    private fun classOf(name: JobClassName): JobClass =
        configuration.classes[name] ?: JobClass(name, preemptible = false)
}

/** Run times of the jobs of each class that finished last, as this owner observed them. */
internal class RunHistory {
    private val samples = HashMap<JobClassName, ArrayDeque<Long>>()

    fun add(record: JobRecord) {
        // For a job that was stopped in between, the time from the first start to the end is not a run time.
        if (record.state != JobState.DONE || record.attempt > 1) return
        val startedMs = record.startedWallMs ?: return
        val endedMs = record.endedWallMs ?: return
        val list = samples.getOrPut(record.jobClass) { ArrayDeque() }
        list.addLast(endedMs - startedMs)
        if (list.size > MAX_SAMPLES) list.removeFirst()
    }

    fun runTimes(): Map<JobClassName, RunTimes> =
        samples.mapValues { (_, list) ->
            val sorted = list.sorted()
            RunTimes(sorted[sorted.size / 2], sorted[sorted.size * 9 / 10], sorted.size)
        }

    private companion object {
        const val MAX_SAMPLES = 200
    }
}
