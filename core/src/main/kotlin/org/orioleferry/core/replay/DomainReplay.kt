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

/** Replays the jobs of one data centre. Every change of state is followed by one pass of the policy. */
internal class DomainReplay(
    deployment: Deployment,
    private val dataCentre: DataCentre,
    private val policy: PlacementPolicy,
    private val horizonMs: Long,
) {
    private val state = DomainState(deployment.configuration, dataCentre, deployment.workers(dataCentre))
    private val agenda = PriorityQueue<Entry>(compareBy({ it.timeMs }, { it.number }))
    private val waiting = LinkedHashMap<JobId, TrackedJob>()
    private val results = mutableListOf<ReplayedJob>()
    private val samples = mutableListOf<ReplaySample>()
    private var nowMs = 0L
    private var entries = 0
    private var steps = 0L
    private var expected = 0

    fun run(jobs: List<StreamJob>): ReplayResult {
        expected = jobs.size
        jobs.forEach { job -> at(job.submittedMs) { submit(job) } }
        for (timeMs in 0..horizonMs step ReplayResult.SAMPLE_MS) at(timeMs) { samples += sample() }
        at(TICK_MS) { tick() }
        while (agenda.isNotEmpty()) {
            nowMs = agenda.peek().timeMs
            while (agenda.peek()?.timeMs == nowMs) agenda.poll().action()
            if (waiting.isNotEmpty()) pass()
        }
        waiting.values.forEach { results += it.toResult(ReplayEnd.NEVER_STARTED, null) }
        return ReplayResult(results, samples, steps)
    }

    private fun submit(job: StreamJob) {
        val id = JobId.of(dataCentre, job.id)
        val tracked = TrackedJob(id, job, state.classOf(job.jobClass), drainBoundMs(job.gang))
        if (firstFit(state.idle(), listOf(tracked.toWaiting())).starts.isEmpty()) {
            results += tracked.toResult(ReplayEnd.NEVER_FITS, nowMs)
            return
        }
        waiting[id] = tracked
        job.cancelAfterMs?.let { afterMs -> at(nowMs + afterMs) { cancel(id) } }
    }

    private fun cancel(id: JobId) {
        val tracked = waiting.remove(id) ?: state.release(id)?.tracked ?: return
        results += tracked.toResult(ReplayEnd.CANCELLED, nowMs)
    }

    private fun pass() {
        val plan = policy(state.snapshot(nowMs), waiting.values.map { it.toWaiting() })
        steps += plan.steps
        plan.starts.forEach { start ->
            waiting.remove(start.jobId)?.let { begin(state.start(it, start.members, nowMs)) }
        }
        plan.reclaims.forEach { beginReclaim(it) }
    }

    private fun begin(gang: RunningGang) = at(gang.endsMs) { finish(gang) }

    private fun finish(gang: RunningGang) {
        // A gang that was stopped in between has been replaced or is waiting again.
        if (state.running[gang.tracked.id] !== gang) return
        state.release(gang.tracked.id)
        state.observe(gang)
        results += gang.tracked.toResult(ReplayEnd.DONE, nowMs)
    }

    private fun beginReclaim(reclaim: PlannedReclaim) {
        state.reclaims[reclaim.beneficiary] = reclaim
        val victims = reclaim.victims.mapNotNull { state.running[it] }
        victims.forEach { it.stoppingSinceMs = it.stoppingSinceMs ?: nowMs }
        at(nowMs + RECLAIM_MS) { endReclaim(reclaim, victims) }
    }

    private fun endReclaim(
        reclaim: PlannedReclaim,
        victims: List<RunningGang>,
    ) {
        state.reclaims.remove(reclaim.beneficiary)
        victims.filter { state.running[it.tracked.id] === it }.forEach { gang ->
            state.release(gang.tracked.id)
            gang.tracked.keptMs += (gang.stoppingSinceMs ?: nowMs) - gang.startedMs
            gang.tracked.stops++
            if (gang.tracked.stops < ReplayEnd.MOST_STOPS) {
                waiting[gang.tracked.id] = gang.tracked
            } else {
                results += gang.tracked.toResult(ReplayEnd.STOPPED_TOO_OFTEN, nowMs)
            }
        }
        val beneficiary = waiting[reclaim.beneficiary] ?: return
        if (!state.hasRoom(reclaim.members)) return
        waiting.remove(beneficiary.id)
        begin(state.start(beneficiary, reclaim.members, nowMs))
    }

    /** Gives policies that wait for a time a pass without any other event, until nothing can happen any more. */
    private fun tick() {
        val isStuck = state.running.isEmpty() && state.reclaims.isEmpty() && agenda.isEmpty()
        if (results.size < expected && !(isStuck && nowMs > horizonMs + STUCK_MS)) at(nowMs + TICK_MS) { tick() }
    }

    /** Time until enough of the running gangs have ended for [gang] to fit, if nothing else started. */
    private fun drainBoundMs(gang: Gang): Long {
        val free = state.freeByWorker()
        val probe = listOf(probe(gang))
        if (firstFit(state.bare(free), probe).starts.isNotEmpty()) return 0
        for (running in state.running.values.sortedBy { it.endsMs }) {
            running.members.forEach { free.merge(it.worker, it.accelerators, Int::plus) }
            if (firstFit(state.bare(free), probe).starts.isNotEmpty()) return running.endsMs - nowMs
        }
        return 0
    }

    private fun sample(): ReplaySample =
        ReplaySample(
            timeMs = nowMs,
            capacity = state.capacity,
            used = state.used,
            waiting = waiting.values.sumOf { it.job.gang.accelerators },
            waitingJobs = waiting.size,
            scattered = state.scattered,
            probeStarts = firstFit(state.bare(state.freeByWorker()), listOf(probe(PROBE))).starts.isNotEmpty(),
        )

    private fun probe(gang: Gang) =
        WaitingJob(JobId.of(dataCentre, "probe"), WorkspaceName("probe"), JobClassName("probe"), gang, 0, true)

    private fun at(
        timeMs: Long,
        action: () -> Unit,
    ) {
        agenda += Entry(timeMs, entries++, action)
    }

    private class Entry(
        val timeMs: Long,
        val number: Int,
        val action: () -> Unit,
    )

    private companion object {
        const val TICK_MS = 60_000L

        // Grace for a checkpoint and the stop itself, as in section 3.1 of the design page.
        const val RECLAIM_MS = 1_200L
        const val STUCK_MS = 7_200_000L
        val PROBE = Gang(2, 8, Adjacency.RACK)
    }
}
