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

/** Sends starts and stops to workers and keeps the runs that are not certain to have ended. */
internal class RunOrders(
    private val parts: OwnerParts,
    private val ownership: Ownership,
    private val writer: ProgressWriter,
    private val scope: CoroutineScope,
    private val replan: () -> Unit,
) {
    private val clock = parts.clock
    private val log = parts.log

    /** Called when a run is certain to be gone without an end that can be listed. */
    var onGone: (run: Run, reason: String) -> Unit = { _, _ -> }

    /**
     * Starts [task] on [session] with the given attempt. The room is taken at once. [isNearData] tells whether the task
     * runs at full speed there.
     */
    fun start(
        task: Task,
        session: WorkerSession,
        attempt: Int,
        isUrgent: Boolean,
        isNearData: Boolean,
        ticket: String,
    ) {
        val run = Run(RunId(task.id, attempt), task, session, RunState.STARTING, clock.monotonicMs())
        run.checkpoint = task.checkpoint
        run.ticket = ticket
        run.isUrgent = isUrgent
        run.isTelling = isNearData && task.checkpoint.isEmpty() && !task.step.spec.isLasting
        attach(run)
        task.lastAttempt = attempt
        val job = task.step.job
        if (!job.hasBegun) {
            job.hasBegun = true
            job.state = JobState.RUNNING
        }
        val recorded = writer.mark(job)
        scope.launch {
            // The next owner has to know where a run may be before it can be there.
            writer.awaitStored(recorded)
            deliver(run)
        }
    }

    /** Next attempt of [task]: above every earlier one, those of former owners included. */
    fun nextAttempt(task: Task): Int = task.lastAttempt + 1

    private suspend fun deliver(run: Run) {
        var result: StartResult = StartResult.Unknown("not sent")
        var mayHaveStarted = false
        for (attempt in 1..START_TRIES) {
            // The run may have ended, and its worker started anew, while an earlier try waited for its answer.
            if (!ownership.mayDecide || run.state == RunState.STOPPING || run.task.run !== run) break
            result = parts.link.start(run.session.listed, orderOf(run))
            if (result !is StartResult.Unknown) break
            mayHaveStarted = true
            log.record(
                SchedulerEvent.RUN_START_UNKNOWN,
                run.id.toLogName(),
                "worker" to run.session.id,
                "reason" to result.reason,
                "try" to attempt,
            )
        }
        if (run.task.run !== run) return
        when (result) {
            StartResult.Started -> onStarted(run)
            // An earlier order without an answer may have run and ended, or be carried out later.
            is StartResult.Refused -> if (mayHaveStarted) abandon(run) else onRefused(run, result.reason)
            is StartResult.Unknown -> abandon(run)
        }
    }

    private suspend fun onStarted(run: Run) {
        run.confirmedAtMs = clock.monotonicMs()
        log.record(
            SchedulerEvent.RUN_STARTED,
            run.id.toLogName(),
            "worker" to run.session.id,
            "epoch" to ownership.epoch,
        )
        if (run.state == RunState.STARTING) run.state = RunState.RUNNING else sendStop(run)
        run.session.wake()
    }

    /** Gives up a start whose outcome is open. A stop makes sure that it is not carried out later. */
    private suspend fun abandon(run: Run) {
        run.state = RunState.STOPPING
        stopGangOf(run, "start has no answer")
        sendStop(run)
    }

    private fun orderOf(run: Run): StartOrder =
        StartOrder(
            run = run.id,
            payload = run.task.step.job.accepted.spec.payload,
            deadlineMs = run.session.nextDeadlineMs(),
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

    /** Stops [run]; the worker then ends the other members of a gang as well. */
    fun stop(
        run: Run,
        reason: String,
    ) {
        if (run.state == RunState.STOPPING) return
        val wasStarting = run.state == RunState.STARTING
        run.state = RunState.STOPPING
        log.record(SchedulerEvent.RUN_STOP, run.id.toLogName(), "worker" to run.session.id, "reason" to reason)
        // A start that is on its way is followed by a stop once its outcome is known.
        if (!wasStarting) scope.launch { sendStop(run) }
    }

    /** Makes sure that [run] neither runs nor begins in a new life of its worker. */
    fun stopInNewLife(run: Run) {
        run.confirmedAtMs = null
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
            if (!ownership.mayDecide) {
                delay(RETRY_MS)
                continue
            }
            when (parts.link.stop(run.session.listed, run.id, ownership.epoch)) {
                StopResult.ACCEPTED -> {
                    run.confirmedAtMs = clock.monotonicMs()
                    run.session.wake()
                    return
                }
                StopResult.FENCED -> ownership.isLost = true
                StopResult.OTHER_LIFE -> {
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
        run.task.step.job.liveRuns++
    }

    fun detach(run: Run) {
        if (run.task.run !== run) return
        run.session.runs.remove(run.id)
        run.task.run = null
        run.task.step.job.liveRuns--
    }

    private companion object {
        // The second order tells whether the first was carried out; a third covers one more lost answer.
        const val START_TRIES = 3
        const val RETRY_MS = 150L
        const val REFUSED_PAUSE_MS = 500L
        const val INVALID_PAUSE_MS = 2_000L
    }
}

/** Name of a run in logs. */
internal fun RunId.toLogName(): String = "${task.job}.${task.occurrence}.${task.step}.${task.index}#$attempt"
