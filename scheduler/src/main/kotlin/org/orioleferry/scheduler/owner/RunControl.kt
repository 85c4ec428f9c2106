package org.orioleferry.scheduler.owner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.workers.ListedEnd
import org.orioleferry.scheduler.workers.PresentRun
import org.orioleferry.scheduler.workers.RunEnding
import org.orioleferry.scheduler.workers.RunId

/** Draws the consequences of what the workers list and of what callers change. */
internal class RunControl(
    private val parts: OwnerParts,
    private val ownership: Ownership,
    private val book: JobBook,
    private val writer: ProgressWriter,
    private val orders: RunOrders,
    private val watch: ProgressWatch,
    private val scope: CoroutineScope,
    private val replan: () -> Unit,
) : SessionListener {
    private val clock = parts.clock
    private val log = parts.log
    override val storedSequence: Long get() = writer.storedSequence

    override fun onEnd(
        session: WorkerSession,
        end: ListedEnd,
    ): Long {
        log.record(
            SchedulerEvent.RUN_ENDED,
            end.id.toLogName(),
            "worker" to session.id,
            "how" to end.ending,
            "number" to end.number,
        )
        session.runs[end.id]?.let { run ->
            if (end.ending == RunEnding.DONE) watch.observeDone(run)
            orders.detach(run)
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
            if (!task.step.spec.isGang) member.run?.let { orders.stop(it, "the task is done") }
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
        val number =
            book.end(
                job,
                JobState.FAILED,
                "task ${RunId(task.id, attempt).toLogName()} has failed $limit times",
            )
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
            member.run?.takeIf { it.id.attempt == ended.attempt }?.let { orders.stop(it, "a member has ended") }
        }
    }

    override fun onUnknownRun(
        session: WorkerSession,
        present: PresentRun,
    ) {
        val job = book[present.id.task.job]
        val task = job?.task(present.id.task)
        if (job == null || task == null || !isLeftBehind(job, task, session, present.id)) {
            log.record(
                SchedulerEvent.RUN_FOREIGN,
                present.id.toLogName(),
                "worker" to session.id,
                "known" to (task != null),
            )
            scope.launch { parts.link.stop(session.listed, present.id, ownership.epoch) }
            return
        }
        val run = Run(present.id, task, session, RunState.RUNNING, clock.monotonicMs())
        run.checkpoint = present.checkpoint
        run.percent = present.percent
        run.firstPercent = present.percent
        run.confirmedAtMs = clock.monotonicMs()
        run.isUrgent = parts.manifest()?.queue(run.queue)?.priority == 0
        orders.attach(run)
        job.hasBegun = true
        task.suspectedOn = ""
        log.record(
            SchedulerEvent.RUN_ADOPTED,
            present.id.toLogName(),
            "worker" to session.id,
            "percent" to present.percent,
        )
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
        step.tasks.forEach { task -> task.run?.let { orders.stop(it, "the gang is incomplete") } }
    }

    override fun onNewLife(session: WorkerSession) {
        session.runs.values
            .toList()
            .forEach(orders::stopInNewLife)
    }

    override fun onClaimed(session: WorkerSession) = onWorkerSettled(session.id)

    override fun onGone(
        run: Run,
        reason: String,
    ) {
        if (run.task.run !== run) return
        log.record(
            SchedulerEvent.RUN_ENDED,
            run.id.toLogName(),
            "worker" to run.session.id,
            "how" to "GONE",
            "reason" to reason,
        )
        if (run.checkpoint.isNotEmpty()) saveCheckpoint(run.task, run.checkpoint)
        orders.detach(run)
        stopPartialGang(run.task, run.id)
        replan()
    }

    override fun onListed(session: WorkerSession) {
        watch.observe(session)
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
        job.openSteps.forEach { step -> step.tasks.forEach { task -> task.run?.let { orders.stop(it, reason) } } }
    }

    /** The value of one member of a gang holds for all. */
    private fun saveCheckpoint(
        task: Task,
        checkpoint: String,
    ) {
        val holders = if (task.step.spec.isGang) task.step.tasks else listOf(task)
        holders.forEach { it.checkpoint = checkpoint }
    }

    private companion object {
        const val FAILURES_UNTIL_AVOIDED = 2

        // A worker that fails what it starts gets another try after this time.
        const val FAILING_PAUSE_MS = 4_000L
        const val DEFAULT_ATTEMPTS = 3
    }
}
