package org.orioleferry.scheduler.owner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.workers.RunId
import org.orioleferry.scheduler.workers.StartOrder
import org.orioleferry.scheduler.workers.StartRefusal
import org.orioleferry.scheduler.workers.StartResult
import org.orioleferry.scheduler.workers.StopResult

/** Sends start and stop orders to workers and tracks the runs that are not certain to have ended. */
internal class RunOrders(
    private val dependencies: OwnerDependencies,
    private val ownership: Ownership,
    private val writer: ProgressWriter,
    private val scope: CoroutineScope,
    private val replan: () -> Unit,
) {
    private val clock = dependencies.clock
    private val log = dependencies.log

    /** Called when a run has certainly ended and the worker cannot list its end. */
    var onGone: (run: Run, reason: String) -> Unit = { _, _ -> }

    /**
     * Starts [task] on [session] as the given attempt and allocates its resources at once. [isNearData] tells whether
     * the task runs at full speed there, [isTrial] that nothing else may start beside it for a while.
     */
    fun start(
        task: Task,
        session: WorkerSession,
        attempt: Int,
        isUrgent: Boolean,
        isNearData: Boolean,
        ticket: String,
        isTrial: Boolean = false,
    ) {
        val run = Run(RunId(task.id, attempt), task, session, RunState.STARTING, clock.monotonicMs())
        run.checkpoint = task.checkpoint
        run.ticket = ticket
        run.isUrgent = isUrgent
        run.isTrial = isTrial
        run.isSpeedSample = isNearData && task.checkpoint.isEmpty() && !task.step.spec.isLasting
        attach(run)
        task.lastAttempt = attempt
        task.crashes.waitsSinceMs = null
        val job = task.step.job
        if (job.state == JobState.QUEUED) job.state = JobState.RUNNING
        val changeSequence = writer.markChanged(job)
        scope.launch {
            // The worker is stored before the order is sent, so that the next owner knows where a run may exist.
            writer.awaitStored(changeSequence)
            sendStart(run)
        }
    }

    /** Returns the next attempt number of [task], above all earlier ones including those of former owners. */
    fun nextAttempt(task: Task): Int = task.lastAttempt + 1

    private suspend fun sendStart(run: Run) {
        var result: StartResult = StartResult.Unknown("not sent")
        var mayHaveStarted = false
        for (tryNumber in 1..MAX_START_TRIES) {
            if (needsAnswer(run) && !run.session.answers()) {
                result = StartResult.Refused(StartRefusal.UNHEALTHY)
                break
            }
            if (!isStartWanted(run)) break
            val objection = dependencies.evacuations.reasonAgainstStart(run.session.listed.dataCentre)
            if (objection != null) {
                divert(run, objection)
                break
            }
            // The worker's capacity may have shrunk since the run was planned.
            if (run.session.free.isOverdrawn) {
                result = StartResult.Refused(StartRefusal.NO_ROOM)
                break
            }
            result = callStart(run)
            if (result !is StartResult.Unknown) break
            mayHaveStarted = true
            log.record(
                SchedulerEvent.RUN_START_UNKNOWN,
                run.id.toLogName(),
                "worker" to run.session.id,
                "reason" to result.reason,
                "try" to tryNumber,
            )
        }
        if (run.task.run !== run) return
        when (result) {
            is StartResult.Started -> onStarted(run)
            // An earlier order without an answer may already have run and ended, or may still be executed.
            is StartResult.Refused -> if (mayHaveStarted) abandon(run) else onRefused(run, result.reason)
            is StartResult.Unknown -> abandon(run)
        }
    }

    /**
     * Takes back the start of [run], and those of its gang that were not sent either, so that their tasks wait again. Members
     * whose orders were sent are stopped; a stop of the others would hold up the gang until the next listing.
     */
    private fun divert(
        run: Run,
        reason: String,
    ) {
        recordDiverted(run, reason)
        if (run.task.step.spec.isGang) {
            val members =
                run.task.step.tasks
                    .mapNotNull { it.run } - run
            val (sent, unsent) = members.partition { it.isOrdered }
            unsent.forEach {
                recordDiverted(it, "the start of another member was diverted")
                detach(it)
            }
            sent.forEach { stop(it, "the start of another member was diverted") }
        }
        if (!run.isOrdered) detach(run)
        replan()
    }

    private fun recordDiverted(
        run: Run,
        reason: String,
    ) = log.record(
        SchedulerEvent.RUN_START_DIVERTED,
        run.id.toLogName(),
        "worker" to run.session.id,
        "dataCentre" to run.session.listed.dataCentre,
        "reason" to reason,
        "sent" to run.isOrdered,
    )

    // Under a task with crashes on record, a start without an answer counts as one more. A start may reach a later incarnation
    // of its worker: a lasting task would wait for the longest lease then, and one with a label may run on another kind.
    private fun needsAnswer(run: Run): Boolean {
        val spec = run.task.step.spec
        return run.task.crashes.count > 0 || spec.isLasting || spec.label.isNotEmpty() || !run.session.hasCurrentClock
    }

    private suspend fun callStart(run: Run): StartResult {
        val sentAtMs = clock.monotonicMs()
        val result = dependencies.link.start(run.session.listed, startOrderOf(run))
        val isAnswered = result !is StartResult.Unknown && result != StartResult.Refused(StartRefusal.OTHER_LIFE)
        if (isAnswered) run.session.onOrderAnswered(sentAtMs)
        if (result is StartResult.Started) run.session.onStartAnswered(result.clockMs, sentAtMs)
        return result
    }

    /**
     * Whether [run] may be started now. While its start waited for its row, for its turn or for the answer to an earlier
     * try, the ownership may have lapsed, the run may have ended, its worker may have begun to drain, and a worker may
     * have listed that its task is done.
     */
    private fun isStartWanted(run: Run): Boolean =
        ownership.canDecide &&
            run.state != RunState.STOPPING &&
            run.task.run === run &&
            !run.session.listed.isDraining &&
            !run.task.isDone &&
            run.task.step.job.isLive

    private suspend fun onStarted(run: Run) {
        // The earlier incarnation of the worker may have answered; the stop that is under way decides.
        if (run.isOrphaned) return
        run.confirmedAtMs = clock.monotonicMs()
        run.onBegun(clock.monotonicMs())
        log.record(
            SchedulerEvent.RUN_STARTED,
            run.id.toLogName(),
            "worker" to run.session.id,
            "epoch" to ownership.epoch,
        )
        if (run.state == RunState.STARTING) run.state = RunState.RUNNING else sendStop(run)
        run.session.wake()
    }

    /** Gives up a start with an unknown outcome. A stop makes sure that the order is not executed later. */
    private suspend fun abandon(run: Run) {
        if (run.isOrphaned) return
        run.state = RunState.STOPPING
        stopGangOf(run, "start has no answer")
        sendStop(run)
    }

    private fun startOrderOf(run: Run): StartOrder =
        StartOrder(
            run = run.id,
            payload = run.task.step.job.accepted.spec.payload,
            deadlineMs = run.session.startDeadlineMs(run),
            fence = ownership.epoch,
            checkpoint = run.checkpoint,
            ticket = run.ticket,
        )

    private fun onRefused(
        run: Run,
        reason: StartRefusal,
    ) {
        log.record(SchedulerEvent.RUN_START_REFUSED, run.id.toLogName(), "worker" to run.session.id, "reason" to reason)
        val now = clock.monotonicMs()
        when (reason) {
            StartRefusal.FENCED -> ownership.isLost = true
            StartRefusal.UNHEALTHY, StartRefusal.NO_ROOM -> run.session.avoidUntilMs = now + REFUSED_PAUSE_MS
            StartRefusal.INVALID -> run.task.notBeforeMs = now + INVALID_PAUSE_MS
            StartRefusal.NO_TICKET ->
                run.task.step.advice.tickets
                    .remove(run.session.id)
            StartRefusal.OLD_ATTEMPT, StartRefusal.LATE, StartRefusal.OTHER_LIFE -> Unit
        }
        detach(run)
        stopGangOf(run, "a member was refused")
        replan()
    }

    /** Stops [run]; the workers then end the other members of its gang as well. */
    fun stop(
        run: Run,
        reason: String,
    ) {
        if (run.state == RunState.STOPPING) return
        val wasStarting = run.state == RunState.STARTING
        run.state = RunState.STOPPING
        log.record(SchedulerEvent.RUN_STOP, run.id.toLogName(), "worker" to run.session.id, "reason" to reason)
        // A start in flight is followed by a stop once its outcome is known.
        if (!wasStarting) scope.launch { sendStop(run) }
    }

    /** Makes sure that [run] neither runs nor starts in a new incarnation of its worker. */
    fun stopInNewIncarnation(run: Run) {
        if (!run.isOrdered) {
            onGone(run, "the worker has restarted before the order")
            return
        }
        run.confirmedAtMs = null
        run.isOrphaned = true
        run.state = RunState.STOPPING
        scope.launch { sendStop(run) }
    }

    fun stopGangOf(
        run: Run,
        reason: String,
    ) {
        if (run.task.step.spec.isGang) {
            run.task.step.tasks
                .forEach { task -> task.run?.let { stop(it, reason) } }
        }
    }

    private suspend fun sendStop(run: Run) {
        while (run.task.run === run) {
            if (!ownership.canDecide) {
                delay(RETRY_MS)
                continue
            }
            val worker = run.session.listed
            val result = dependencies.link.stop(worker, run.id, ownership.epoch)
            // An answer of the earlier incarnation says nothing about the new one.
            if (worker.incarnationMs != run.session.listed.incarnationMs && result != StopResult.FENCED) continue
            when (result) {
                StopResult.ACCEPTED -> {
                    run.confirmedAtMs = clock.monotonicMs()
                    run.isStopAccepted = true
                    run.session.wake()
                    return
                }
                StopResult.FENCED -> ownership.isLost = true
                StopResult.OTHER_LIFE -> {
                    run.session.onOtherLife(worker.incarnationMs)
                    if (run.task.run === run) onGone(run, "another life answers")
                    return
                }
                StopResult.UNKNOWN -> delay(RETRY_MS)
            }
        }
    }

    fun attach(run: Run) {
        run.session.runs[run.id] = run
        run.task.run = run
        run.task.step.job.liveRunCount++
    }

    fun detach(run: Run) {
        if (run.task.run !== run) return
        run.session.runs.remove(run.id)
        run.task.run = null
        run.task.step.job.liveRunCount--
    }

    private companion object {
        // The second order shows whether the first was executed; a third covers one more lost answer.
        const val MAX_START_TRIES = 3
        const val RETRY_MS = 150L
        const val REFUSED_PAUSE_MS = 500L
        const val INVALID_PAUSE_MS = 2_000L
    }
}

/** Returns the name of a run in logs. */
internal fun RunId.toLogName(): String = "${task.job}.${task.occurrence}.${task.step}.${task.index}#$attempt"
