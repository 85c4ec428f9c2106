package org.orioleferry.core.replay

import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.placement.PlacementPolicy
import org.orioleferry.core.placement.PlannedReclaim
import org.orioleferry.core.placement.WaitingJob
import org.orioleferry.core.placement.firstFit
import java.util.PriorityQueue

/** Replays the jobs of one data centre. One pass of the policy follows the events of each moment. */
internal class DataCentreReplay(
    deployment: Deployment,
    private val dataCentre: DataCentre,
    private val policy: PlacementPolicy,
    private val horizonMs: Long,
) {
    private val state = DataCentreState(deployment.configuration, dataCentre, deployment.workers(dataCentre))
    private val events = PriorityQueue<Event>(compareBy({ it.timeMs }, { it.number }))
    private val waiting = LinkedHashMap<JobId, TrackedJob>()
    private val results = mutableListOf<ReplayedJob>()
    private val samples = mutableListOf<ReplaySample>()
    private var nowMs = 0L
    private var scheduledEvents = 0
    private var steps = 0L
    private var expected = 0

    fun run(jobs: List<StreamJob>): ReplayResult {
        expected = jobs.size
        jobs.forEach { job -> schedule(job.submittedMs) { submit(job) } }
        for (timeMs in 0..horizonMs step ReplayResult.SAMPLE_MS) schedule(timeMs) { samples += takeSample() }
        schedule(TICK_MS) { tick() }
        while (events.isNotEmpty()) {
            nowMs = events.peek().timeMs
            while (events.peek()?.timeMs == nowMs) events.poll().action()
            if (waiting.isNotEmpty()) runPass()
        }
        waiting.values.forEach { results += it.toResult(ReplayEnd.NEVER_STARTED, null) }
        return ReplayResult(results, samples, steps)
    }

    private fun submit(job: StreamJob) {
        val id = JobId.of(dataCentre, job.id)
        val tracked = TrackedJob(id, job, state.classOf(job.jobClass), drainBoundMs(job.gang))
        if (firstFit(state.idleFleet(), listOf(tracked.toWaiting())).starts.isEmpty()) {
            results += tracked.toResult(ReplayEnd.NEVER_FITS, nowMs)
            return
        }
        waiting[id] = tracked
        job.cancelAfterMs?.let { afterMs -> schedule(nowMs + afterMs) { cancel(id) } }
    }

    private fun cancel(id: JobId) {
        val tracked = waiting.remove(id) ?: state.release(id)?.tracked ?: return
        results += tracked.toResult(ReplayEnd.CANCELLED, nowMs)
    }

    private fun runPass() {
        val plan = policy(state.snapshot(nowMs), waiting.values.map { it.toWaiting() })
        steps += plan.steps
        plan.starts.forEach { start ->
            waiting.remove(start.jobId)?.let { scheduleFinish(state.start(it, start.members, nowMs)) }
        }
        plan.reclaims.forEach { beginReclaim(it) }
    }

    private fun scheduleFinish(gang: RunningGang) = schedule(gang.endsMs) { finish(gang) }

    private fun finish(gang: RunningGang) {
        // A gang that was stopped in the meantime has been replaced, or its job waits again.
        if (state.running[gang.tracked.id] !== gang) return
        state.release(gang.tracked.id)
        state.recordRunTime(gang)
        results += gang.tracked.toResult(ReplayEnd.DONE, nowMs)
    }

    private fun beginReclaim(reclaim: PlannedReclaim) {
        state.reclaims[reclaim.beneficiary] = reclaim
        val victims = reclaim.victims.mapNotNull { state.running[it] }
        victims.forEach { it.stoppingSinceMs = it.stoppingSinceMs ?: nowMs }
        schedule(nowMs + RECLAIM_DURATION_MS) { endReclaim(reclaim, victims) }
    }

    private fun endReclaim(
        reclaim: PlannedReclaim,
        victims: List<RunningGang>,
    ) {
        state.reclaims.remove(reclaim.beneficiary)
        victims.filter { state.running[it.tracked.id] === it }.forEach { gang ->
            state.release(gang.tracked.id)
            gang.tracked.completedMs += (gang.stoppingSinceMs ?: nowMs) - gang.startedMs
            gang.tracked.stops++
            if (gang.tracked.stops < ReplayEnd.MAX_STOPS) {
                waiting[gang.tracked.id] = gang.tracked
            } else {
                results += gang.tracked.toResult(ReplayEnd.STOPPED_TOO_OFTEN, nowMs)
            }
        }
        val beneficiary = waiting[reclaim.beneficiary] ?: return
        if (!state.hasRoom(reclaim.members)) return
        waiting.remove(beneficiary.id)
        scheduleFinish(state.start(beneficiary, reclaim.members, nowMs))
    }

    /** Triggers a pass in every period, for policies that wait for a time, until no job can make progress any more. */
    private fun tick() {
        val isStuck = state.running.isEmpty() && state.reclaims.isEmpty() && events.isEmpty()
        if (results.size < expected && !(isStuck && nowMs > horizonMs + STUCK_MS)) schedule(nowMs + TICK_MS) { tick() }
    }

    /** Time in milliseconds until enough running gangs have ended for [gang] to fit, if no other job starts. */
    private fun drainBoundMs(gang: Gang): Long {
        val free = state.freeByWorker()
        val probe = listOf(probeJob(gang))
        if (firstFit(state.fleetWithFree(free), probe).starts.isNotEmpty()) return 0
        for (running in state.running.values.sortedBy { it.endsMs }) {
            running.members.forEach { free.merge(it.worker, it.accelerators, Int::plus) }
            if (firstFit(state.fleetWithFree(free), probe).starts.isNotEmpty()) return running.endsMs - nowMs
        }
        return 0
    }

    private fun takeSample(): ReplaySample =
        ReplaySample(
            timeMs = nowMs,
            capacity = state.capacity,
            used = state.used,
            waiting = waiting.values.sumOf { it.job.gang.accelerators },
            waitingJobs = waiting.size,
            scattered = state.scattered,
            probeStarts =
                firstFit(state.fleetWithFree(state.freeByWorker()), listOf(probeJob(PROBE_GANG)))
                    .starts
                    .isNotEmpty(),
        )

    private fun probeJob(gang: Gang) =
        WaitingJob(JobId.of(dataCentre, "probe"), WorkspaceName("probe"), JobClassName("probe"), gang, 0, true)

    private fun schedule(
        timeMs: Long,
        action: () -> Unit,
    ) {
        events += Event(timeMs, scheduledEvents++, action)
    }

    private class Event(
        val timeMs: Long,
        val number: Int,
        val action: () -> Unit,
    )

    private companion object {
        const val TICK_MS = 60_000L

        // Grace period for a checkpoint and the time to stop a gang, as in section 3.1 of `docs/design.md`.
        const val RECLAIM_DURATION_MS = 1_200L
        const val STUCK_MS = 7_200_000L
        val PROBE_GANG = Gang(2, 8, Adjacency.RACK)
    }
}
