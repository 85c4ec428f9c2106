package org.orioleferry.scheduler.owner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.placement.SpeedBook
import org.orioleferry.scheduler.workers.ListedEnd
import org.orioleferry.scheduler.workers.PresentRun
import org.orioleferry.scheduler.workers.RunEnding
import org.orioleferry.scheduler.workers.RunId
import org.orioleferry.scheduler.workers.StartOrder
import org.orioleferry.scheduler.workers.StartRefusal
import org.orioleferry.scheduler.workers.StartResult
import org.orioleferry.scheduler.workers.StopResult

/** Starts and stops runs and draws the consequences of their ends. */
internal class RunControl(
    private val parts: OwnerParts,
    private val ownership: Ownership,
    private val book: JobBook,
    private val writer: ProgressWriter,
    private val scope: CoroutineScope,
    private val replan: () -> Unit,
) : SessionListener {
    private val clock = parts.clock
    private val log = parts.log
    override val storedSequence: Long get() = writer.storedSequence

    /** Speeds of the workers as far as the runs of this term tell. */
    val speeds = SpeedBook()

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
    ) {
        val run = Run(RunId(task.id, attempt), task, session, RunState.STARTING, clock.monotonicMs())
        run.checkpoint = task.checkpoint
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
        for (attempt in 1..START_TRIES) {
            if (!ownership.mayDecide || run.state == RunState.STOPPING) break
            result = parts.link.start(run.session.listed, orderOf(run))
            if (result !is StartResult.Unknown) break
            log.record(
                SchedulerEvent.RUN_START_UNKNOWN,
                name(run.id),
                "worker" to run.session.id,
                "reason" to result.reason,
                "try" to attempt,
            )
        }
        if (run.task.run !== run) return
        when (result) {
            StartResult.Started -> {
                run.confirmedAtMs = clock.monotonicMs()
                log.record(
                    SchedulerEvent.RUN_STARTED,
                    name(run.id),
                    "worker" to run.session.id,
                    "epoch" to ownership.epoch,
                )
                if (run.state == RunState.STARTING) run.state = RunState.RUNNING else sendStop(run)
                run.session.wake()
            }
            is StartResult.Refused -> onRefused(run, result.reason)
            is StartResult.Unknown -> {
                // A stop makes sure that the order is not carried out later.
                run.state = RunState.STOPPING
                stopGangOf(run, "start has no answer")
                sendStop(run)
            }
        }
    }

    private fun orderOf(run: Run): StartOrder =
        StartOrder(
            run = run.id,
            payload = run.task.step.job.accepted.spec.payload,
            deadlineMs = run.session.nextDeadlineMs(),
            fence = ownership.epoch,
            checkpoint = run.checkpoint,
        )

    private fun onRefused(
        run: Run,
        reason: StartRefusal,
    ) {
        log.record(SchedulerEvent.RUN_START_REFUSED, name(run.id), "worker" to run.session.id, "reason" to reason)
        val now = clock.monotonicMs()
        when (reason) {
            StartRefusal.FENCED -> ownership.isLost = true
            StartRefusal.UNHEALTHY, StartRefusal.NO_ROOM -> run.session.avoidUntilMs = now + REFUSED_PAUSE_MS
            StartRefusal.INVALID -> run.task.notBeforeMs = now + INVALID_PAUSE_MS
            StartRefusal.OLD_ATTEMPT, StartRefusal.LATE, StartRefusal.NO_TICKET, StartRefusal.OTHER_LIFE -> Unit
        }
        detach(run)
        stopGangOf(run, "a member was refused")
        replan()
    }

    /** Stops [run]; for a member of a gang, all of its runs. */
    fun stop(
        run: Run,
        reason: String,
    ) {
        if (run.state == RunState.STOPPING) return
        val wasStarting = run.state == RunState.STARTING
        run.state = RunState.STOPPING
        log.record(SchedulerEvent.RUN_STOP, name(run.id), "worker" to run.session.id, "reason" to reason)
        // A start that is on its way is followed by a stop once its outcome is known.
        if (!wasStarting) scope.launch { sendStop(run) }
    }

    private fun stopGangOf(
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

    override fun onEnd(
        session: WorkerSession,
        end: ListedEnd,
    ): Long {
        log.record(
            SchedulerEvent.RUN_ENDED,
            name(end.id),
            "worker" to session.id,
            "how" to end.ending,
            "number" to end.number,
        )
        session.runs[end.id]?.let { run ->
            if (end.ending == RunEnding.DONE) observeDone(run)
            detach(run)
        }
        val job = book[end.id.task.job]
        val task = job?.task(end.id.task)
        replan()
        if (job == null || task == null || job.state.isEnded) return writer.latest
        task.lastAttempt = maxOf(task.lastAttempt, end.id.attempt)
        if (end.checkpoint.isNotEmpty()) saveCheckpoint(task, end.checkpoint)
        return when (end.ending) {
            RunEnding.DONE -> onDone(job, task, session)
            RunEnding.FAILED -> onFailed(job, task, end.id.attempt, session)
            RunEnding.STOPPED, RunEnding.LAPSED, RunEnding.BROKEN, RunEnding.ALONE -> {
                stopPartialGang(task, end.id)
                writer.latest
            }
        }
    }

    private fun onDone(
        job: Job,
        task: Task,
        session: WorkerSession,
    ): Long {
        session.failuresInRow = 0
        if (task.step.spec.isLasting) return writer.latest
        val members = if (task.step.spec.isGang) task.step.tasks else listOf(task)
        members.forEach { member ->
            member.step.markDone(member)
            if (!task.step.spec.isGang) member.run?.let { stop(it, "the task is done") }
        }
        return if (job.settleOccurrences()) {
            book.end(
                job,
                JobState.COMPLETED,
                "all tasks are done",
            )
        } else {
            writer.mark(job)
        }
    }

    private fun onFailed(
        job: Job,
        task: Task,
        attempt: Int,
        session: WorkerSession,
    ): Long {
        session.failuresInRow++
        if (session.failuresInRow >= FAILURES_UNTIL_AVOIDED) {
            session.avoidUntilMs = clock.monotonicMs() + FAILING_PAUSE_MS
            log.record(
                SchedulerEvent.WORKER_SUSPECTED,
                session.id,
                "failures" to session.failuresInRow,
                "pauseMs" to FAILING_PAUSE_MS,
            )
        }
        if (task.step.spec.isLasting || task.isDone) return writer.latest
        task.failedAttempts += attempt
        stopPartialGang(task, RunId(task.id, attempt))
        val limit = parts.manifest()?.queue(job.accepted.spec.queue)?.maxAttempts ?: DEFAULT_ATTEMPTS
        if (task.step.failuresOf(task) < limit) return writer.mark(job)
        val number = book.end(job, JobState.FAILED, "task ${name(RunId(task.id, attempt))} has failed $limit times")
        stopAll(job, "the job has failed")
        return number
    }

    /** The other members of the same attempt end on their own; a stop makes the room free sooner. */
    private fun stopPartialGang(
        task: Task,
        ended: RunId,
    ) {
        if (!task.step.spec.isGang || task.isDone) return
        task.step.tasks.forEach { member ->
            member.run?.takeIf { it.id.attempt == ended.attempt }?.let { stop(it, "a member has ended") }
        }
    }

    override fun onUnknownRun(
        session: WorkerSession,
        present: PresentRun,
    ) {
        val job = book[present.id.task.job]
        val task = job?.task(present.id.task)
        if (job == null || task == null || !isLeftBehind(job, task, session, present.id)) {
            log.record(SchedulerEvent.RUN_FOREIGN, name(present.id), "worker" to session.id, "known" to (task != null))
            scope.launch { parts.link.stop(session.listed, present.id, ownership.epoch) }
            return
        }
        val run = Run(present.id, task, session, RunState.RUNNING, clock.monotonicMs())
        run.checkpoint = present.checkpoint
        run.percent = present.percent
        run.confirmedAtMs = clock.monotonicMs()
        run.isUrgent = parts.manifest()?.queue(run.queue)?.priority == 0
        attach(run)
        job.hasBegun = true
        task.suspectedOn = ""
        log.record(SchedulerEvent.RUN_ADOPTED, name(present.id), "worker" to session.id, "percent" to present.percent)
        session.wake()
    }

    /** Whether the run is the recorded one of an earlier owner and its task is still to be done. */
    private fun isLeftBehind(
        job: Job,
        task: Task,
        session: WorkerSession,
        run: RunId,
    ): Boolean =
        job.isLive &&
            !task.isDone &&
            task.run == null &&
            task.suspectedOn == session.id &&
            task.lastAttempt == run.attempt

    /** Everything that earlier owners started on the worker [id] is known or gone. */
    fun onWorkerSettled(id: String) {
        book.suspected().filter { it.suspectedOn == id }.forEach { it.suspectedOn = "" }
        replan()
    }

    /** No lease that an earlier owner granted can be left. */
    fun onEarlierLeasesLapsed() {
        val open = book.suspected()
        log.record(SchedulerEvent.TAKEOVER_CLEAR, parts.settings.instance, "tasks" to open.size)
        open.forEach { it.suspectedOn = "" }
        replan()
    }

    /** Stops the members of a gang that can no longer become whole. */
    fun stopIncomplete(step: StepRun) {
        step.tasks.forEach { task -> task.run?.let { stop(it, "the gang is incomplete") } }
    }

    override fun onClaimed(session: WorkerSession) = onWorkerSettled(session.id)

    override fun onGone(
        run: Run,
        reason: String,
    ) {
        if (run.task.run !== run) return
        log.record(
            SchedulerEvent.RUN_ENDED,
            name(run.id),
            "worker" to run.session.id,
            "how" to "GONE",
            "reason" to reason,
        )
        if (run.checkpoint.isNotEmpty()) saveCheckpoint(run.task, run.checkpoint)
        detach(run)
        stopPartialGang(run.task, run.id)
        replan()
    }

    private fun observeDone(run: Run) {
        val beganMs = run.confirmedAtMs ?: return
        if (!run.isTelling) return
        speeds.observeDone(run.session.id, run.queue, run.estimateMs, clock.monotonicMs() - beganMs)
    }

    private fun isStalled(run: Run): Boolean {
        val spec = run.task.step.spec
        if (run.state != RunState.RUNNING || spec.isLasting || run.confirmedAtMs == null) return false
        // A member of a gang that has done its part waits for the others.
        if (run.percent >= PERCENT) return false
        val patienceMs = maxOf(STALLED_MS, (spec.estimateMs * STALLED_SHARE).toLong())
        return clock.monotonicMs() - run.progressedAtMs > patienceMs
    }

    /** Starts the task elsewhere if little is lost by that; a worker on which work stands still recovers after seconds. */
    private fun onStalled(run: Run) {
        val step = run.task.step
        speeds.noteStalled(run.session.id, clock.monotonicMs())
        val losesLittle = run.isUrgent || run.percent < LITTLE_PERCENT || run.checkpoint.isNotEmpty()
        if (!losesLittle || step.stalls >= MOST_STALLS * step.spec.count) return
        step.stalls++
        log.record(SchedulerEvent.WORKER_SUSPECTED, run.session.id, "run" to name(run.id), "percent" to run.percent)
        if (step.spec.isGang) stopGangOf(run, "a member stands still") else stop(run, "the run stands still")
    }

    private fun observeProgress(run: Run) {
        val beganMs = run.confirmedAtMs ?: return
        if (!run.isTelling || run.state != RunState.RUNNING) return
        val now = clock.monotonicMs()
        speeds.observeProgress(run.session.id, run.queue, run.estimateMs, run.percent / PERCENT, now - beganMs, now)
    }

    override fun onListed(session: WorkerSession) {
        session.runs.values.forEach(::observeProgress)
        session.runs.values
            .filter { isStalled(it) }
            .forEach { onStalled(it) }
        session.runs.values.forEach { run -> if (run.checkpoint.isNotEmpty()) saveCheckpoint(run.task, run.checkpoint) }
        replan()
    }

    /** Stops what runs of a job that was cancelled. */
    fun onJobChanged(job: Job) {
        if (!job.accepted.isCancelled || job.state.isEnded) return
        book.end(job, JobState.CANCELLED, "cancelled by the caller")
        stopAll(job, "the job was cancelled")
    }

    private fun stopAll(
        job: Job,
        reason: String,
    ) {
        job.openSteps.forEach { step -> step.tasks.forEach { task -> task.run?.let { stop(it, reason) } } }
    }

    /** The value of one member of a gang holds for all. */
    private fun saveCheckpoint(
        task: Task,
        checkpoint: String,
    ) {
        val holders = if (task.step.spec.isGang) task.step.tasks else listOf(task)
        holders.forEach { it.checkpoint = checkpoint }
    }

    private fun attach(run: Run) {
        run.session.runs[run.id] = run
        run.task.run = run
        run.task.step.job.liveRuns++
    }

    private fun detach(run: Run) {
        if (run.task.run !== run) return
        run.session.runs.remove(run.id)
        run.task.run = null
        run.task.step.job.liveRuns--
    }

    private fun name(id: RunId): String =
        "${id.task.job}.${id.task.occurrence}.${id.task.step}.${id.task.index}#${id.attempt}"

    private companion object {
        // The second order tells whether the first was carried out; a third covers one more lost answer.
        const val START_TRIES = 3
        const val RETRY_MS = 150L
        const val REFUSED_PAUSE_MS = 500L
        const val INVALID_PAUSE_MS = 2_000L
        const val FAILURES_UNTIL_AVOIDED = 2

        // A worker that fails what it starts gets another try after this time.
        const val FAILING_PAUSE_MS = 4_000L
        const val DEFAULT_ATTEMPTS = 3

        // Progress is listed in whole percent; a task of a minute at normal speed moves by 2 in this time.
        const val STALLED_MS = 1_200L
        const val STALLED_SHARE = 0.03
        const val LITTLE_PERCENT = 20

        // Restarts that a wrong judgement may cost.
        const val MOST_STALLS = 2
        const val PERCENT = 100
    }
}
