package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.placement.DurationModel
import org.orioleferry.scheduler.placement.WorkerSpeedEstimator

/**
 * Restarts urgent runs elsewhere whose worker is several times slower than expected, once per step and gangs as a whole.
 *
 * A slow worker is told from a long task by the other tasks of the step on other workers, and by other runs on the same
 * worker; where there are none, by the spread of the durations of the queue.
 */
internal class SlowRuns(
    private val dependencies: OwnerDependencies,
    private val orders: RunOrders,
    private val durations: DurationModel,
    private val speeds: WorkerSpeedEstimator,
) {
    private val clock = dependencies.clock

    /** Returns the workers on which tasks may be started. */
    var usableWorkers: () -> List<WorkerSession> = { emptyList() }

    /** Evaluates the urgent runs of [session] after the worker has listed them. */
    fun check(session: WorkerSession) {
        session.runs.values.forEach { it.seemsSlow = false }
        if (session.runs.values.none { it.isUrgent }) return
        markLongTasks(session.runs.values)
        session.runs.values
            .filter { canBeRestarted(it) && seemsSlow(it) }
            .groupBy { it.task.step }
            .forEach { (step, slow) -> onSlow(step, slow) }
    }

    private fun canBeRestarted(run: Run): Boolean {
        val step = run.task.step
        return run.isUrgent &&
            run.state == RunState.RUNNING &&
            run.isSpeedSample &&
            !run.isLongTask &&
            !step.hasSlowRestart &&
            // Further starts of such steps need new tickets, which takes an unknown time.
            dependencies.policyOf(step.job.accepted.spec).advice == null
    }

    /** Whether [run] has been several times slower than expected, for whatever reason. */
    private fun seemsSlow(run: Run): Boolean {
        val expectedMs = expectedMs(run) ?: return false
        val pace = run.pace
        val workedMs = pace.totalMs - waitedMs(run)
        if (workedMs < MIN_WORKED_MS || workedMs < expectedMs * MIN_EXPECTED_SHARE) return false
        val limitMs = expectedMs * slowFactor(run)
        return pace.shortestDurationMs(waitedMs(run)) >= limitMs
    }

    private fun onSlow(
        step: StepRun,
        slow: List<Run>,
    ) {
        slow.forEach { it.seemsSlow = !isConfirmed(it) }
        val confirmed = slow.filter { isConfirmed(it) && isWorthRestarting(it) }
        if (confirmed.isEmpty() || !hasRoomElsewhere(step, confirmed)) return
        step.hasSlowRestart = true
        val run = confirmed.first()
        speeds.recordStall(run.session.id, clock.monotonicMs())
        dependencies.log.record(
            SchedulerEvent.WORKER_SUSPECTED,
            run.session.id,
            "run" to run.id.toLogName(),
            "percent" to run.percent,
            "expectedMs" to expectedMs(run),
            "atLeastMs" to run.pace.shortestDurationMs(waitedMs(run)),
        )
        if (step.spec.isGang) orders.stopGangOf(run, REASON) else confirmed.forEach { orders.stop(it, REASON) }
    }

    /** Whether [run] is slow both in the last interval between listings and before; one of them may hold a standstill. */
    private fun isConfirmed(run: Run): Boolean {
        val limitMs = (expectedMs(run) ?: return false) * PART_SLOW_FACTOR
        return run.pace.shortestLastMs() >= limitMs && run.pace.shortestEarlierMs(waitedMs(run)) >= limitMs
    }

    /** Whether [run] ends sooner by a factor of two if it is stopped and starts again from its beginning. */
    private fun isWorthRestarting(run: Run): Boolean {
        val restartMs = (expectedMs(run) ?: return false) + dependencies.settings.maxStopMs + START_MS
        val leftMs = run.pace.shortestDurationMs(waitedMs(run)) * (WHOLE - run.percent) / WHOLE
        return leftMs >= restartMs * MIN_GAIN_FACTOR
    }

    /**
     * Returns how long [run] should take in ms: as long as the other tasks of its step on other workers, otherwise as the
     * runs of its queue. Returns null while other workers have not shown the pace of the other tasks yet.
     */
    private fun expectedMs(run: Run): Long? {
        if (run.estimateMs <= 0) return null
        val elsewhere = runsElsewhere(run)
        if (elsewhere.isEmpty()) return modelMs(run)
        val paces = elsewhere.map { it.pace }.filter { it.totalMs >= MIN_WORKED_MS }
        if (paces.isEmpty()) return null
        // A run that is only slower than the others of its step may be within what the queue expects.
        return maxOf(paces.map { it.likelyDurationMs() }.sorted()[paces.size / 2], modelMs(run) * 2 / SLOW_FACTOR)
    }

    private fun runsElsewhere(run: Run): List<Run> =
        run.task.step.tasks
            .mapNotNull { it.run }
            .filter { it.session !== run.session && it.state == RunState.RUNNING }

    private fun modelMs(run: Run): Long =
        (run.estimateMs * durations.ratiosOf(run.queue, run.task.step.spec.count).median).toLong()

    /** Returns the multiple of the expected duration from which [run] is slow; greater where the durations scatter. */
    private fun slowFactor(run: Run): Double {
        if (runsElsewhere(run).isNotEmpty()) return SLOW_FACTOR.toDouble()
        val ratios = durations.ratiosOf(run.queue, run.task.step.spec.count)
        return maxOf(SLOW_FACTOR.toDouble(), ratios.percentile90 / ratios.median * SPREAD_MARGIN)
    }

    /** Marks those of [runs], all on one worker, that are slow while another one proceeds about as expected. */
    private fun markLongTasks(runs: Collection<Run>) {
        val sound = runs.filter { proceedsAsExpected(it) }.take(2)
        if (sound.isEmpty()) return
        runs
            .filter { run -> run.isUrgent && sound.any { it !== run } }
            .filter { it.pace.totalMs >= MIN_WORKED_MS && it.pace.likelyDurationMs() > modelMs(it) * SOUND_FACTOR }
            .forEach { it.isLongTask = true }
    }

    private fun proceedsAsExpected(run: Run): Boolean =
        run.state == RunState.RUNNING &&
            run.isSpeedSample &&
            run.pace.lastMs > 0 &&
            run.pace.lastMs >= modelMs(run) * MIN_WITNESS_SHARE &&
            run.pace.likelyLastMs() <= modelMs(run) * SOUND_FACTOR

    /** Returns the time in ms for which [run] waited for other members of its gang. */
    private fun waitedMs(run: Run): Long {
        if (!run.task.step.spec.isGang) return 0
        val ownMs = run.confirmedAtMs ?: return 0
        val starts =
            run.task.step.tasks
                .map { it.run?.confirmedAtMs ?: clock.monotonicMs() }
        return starts.max() - ownMs
    }

    /** Whether the tasks of [slow], or the gang, find a place on other workers, free or held by less urgent work. */
    private fun hasRoomElsewhere(
        step: StepRun,
        slow: List<Run>,
    ): Boolean {
        val spec = step.spec
        val needed = if (spec.isGang) spec.count else slow.size
        val session = slow.first().session
        val candidates =
            usableWorkers().filter {
                it !== session &&
                    it.listed.service == session.listed.service &&
                    (spec.label.isEmpty() || spec.label in it.listed.labels) &&
                    (spec.dataRack.isEmpty() || spec.dataRack == it.listed.rack) &&
                    !speeds.isTroubled(it.id, clock.monotonicMs())
            }
        val racks = if (spec.sameRack) candidates.groupBy { it.listed.rack }.values else listOf(candidates)
        return racks.any { rack -> rack.sumOf { slotsFor(step, it, needed) } >= needed }
    }

    private fun slotsFor(
        step: StepRun,
        session: WorkerSession,
        limit: Int,
    ): Int {
        val usable =
            session.runs.values
                .filter {
                    (step.spec.isGang && it.task.step === step) || (!it.isUrgent && !it.task.step.spec.isLasting)
                }.fold(session.free) { sum, run -> sum + run.task.step.countedNeed }
        val slots = usable.countFitting(step.countedNeed, limit)
        return if (step.spec.maxPerWorker > 0) minOf(slots, step.spec.maxPerWorker) else slots
    }

    private companion object {
        const val REASON = "the worker is slow"
        const val WHOLE = 100

        // Slow workers take 5 to 7 times as long, healthy ones differ by a quarter.
        const val SLOW_FACTOR = 3

        // Estimates are off by a factor of two, which is the spread that the model states before it has learnt.
        const val SPREAD_MARGIN = 2.0

        // Listed progress in whole percent leaves the pace of a short interval uncertain by about a half.
        const val PART_SLOW_FACTOR = 1.5
        const val SOUND_FACTOR = 2

        // Time and share of the expected duration after which the progress of a run tells its pace.
        const val MIN_WORKED_MS = 400L
        const val MIN_EXPECTED_SHARE = 0.15
        const val MIN_WITNESS_SHARE = 0.03

        // Approximate time from the end of a stop until the next run begins.
        const val START_MS = 200L
        const val MIN_GAIN_FACTOR = 2
    }
}
