package org.orioleferry.scheduler.owner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.Resources
import org.orioleferry.scheduler.placement.TRIAL_MS
import org.orioleferry.scheduler.placement.weightedCores
import org.orioleferry.scheduler.workers.PresentRun
import org.orioleferry.scheduler.workers.RunEndRecord
import org.orioleferry.scheduler.workers.RunEnding
import org.orioleferry.scheduler.workers.RunId

/** Updates jobs and runs from the listings of the workers and from cancellations by callers. */
internal class RunControl(
    private val dependencies: OwnerDependencies,
    private val ownership: Ownership,
    private val jobRegistry: JobRegistry,
    private val writer: ProgressWriter,
    private val orders: RunOrders,
    private val progressMonitor: ProgressMonitor,
    private val scope: CoroutineScope,
    private val replan: () -> Unit,
) : SessionListener {
    private val clock = dependencies.clock
    private val log = dependencies.log
    private val crashControl = CrashControl(log, jobRegistry, writer, ::stopAll)
    override val storedSequence: Long get() = writer.storedSequence

    override fun onEnd(
        session: WorkerSession,
        end: RunEndRecord,
    ): Long {
        log.record(
            SchedulerEvent.RUN_ENDED,
            end.id.toLogName(),
            "worker" to session.id,
            "how" to end.ending,
            "number" to end.number,
            "discardedCoreMs" to (session.runs[end.id]?.let { discardedCoreMs(it, end) } ?: 0),
        )
        session.runs[end.id]?.let { run ->
            if (end.ending == RunEnding.DONE) progressMonitor.recordCompletion(run)
            if (run.provenMs(clock.monotonicMs()) >= TRIAL_MS) run.task.crashes.hasPassedTrial = true
            orders.detach(run)
        }
        replan()
        return jobRegistry.guarded(end.id.task.job) { applyEnd(session, end) } ?: writer.latestSequence
    }

    /** Returns the work of [run] in core-ms that [end] has discarded: all of it, unless it is done or saved. */
    private fun discardedCoreMs(
        run: Run,
        end: RunEndRecord,
    ): Long {
        if (end.ending == RunEnding.DONE || end.checkpoint.isNotEmpty()) return 0
        return run.provenMs(clock.monotonicMs()) * run.task.step.spec.need.weightedCores
    }

    private fun applyEnd(
        session: WorkerSession,
        end: RunEndRecord,
    ): Long {
        val job = jobRegistry[end.id.task.job]
        val task = job?.task(end.id.task)
        if (job == null || task == null || job.state.isEnded) return writer.latestSequence
        job.hasBegun = true
        task.lastAttempt = maxOf(task.lastAttempt, end.id.attempt)
        if (end.checkpoint.isNotEmpty()) saveCheckpoint(task, end.checkpoint)
        return when (end.ending) {
            RunEnding.DONE -> onDone(job, task, end.id.attempt, session)
            RunEnding.FAILED -> onFailed(job, task, end.id.attempt, session)
            RunEnding.STOPPED, RunEnding.LAPSED, RunEnding.BROKEN, RunEnding.ALONE -> {
                stopGangMembersOfAttempt(task, end.id)
                writer.latestSequence
            }
        }
    }

    private fun onDone(
        job: Job,
        task: Task,
        attempt: Int,
        session: WorkerSession,
    ): Long {
        session.consecutiveFailures = 0
        if (task.step.spec.isLasting) return writer.latestSequence
        val members = if (task.step.spec.isGang) task.step.tasks else listOf(task)
        members.forEach { member ->
            member.step.markDone(member)
            // The other members of the same attempt end by themselves.
            member.run
                ?.takeIf { !task.step.spec.isGang || it.id.attempt != attempt }
                ?.let { orders.stop(it, "the task is done") }
        }
        return if (job.settleOccurrences()) {
            jobRegistry.end(
                job,
                JobState.COMPLETED,
                "all tasks are done",
            )
        } else {
            writer.markChanged(job)
        }
    }

    private fun onFailed(
        job: Job,
        task: Task,
        attempt: Int,
        session: WorkerSession,
    ): Long {
        session.consecutiveFailures++
        if (session.consecutiveFailures >= FAILURES_UNTIL_AVOIDED) {
            session.avoidUntilMs = clock.monotonicMs() + FAILING_PAUSE_MS
            log.record(
                SchedulerEvent.WORKER_SUSPECTED,
                session.id,
                "failures" to session.consecutiveFailures,
                "pauseMs" to FAILING_PAUSE_MS,
            )
        }
        if (task.step.spec.isLasting || task.isDone) return writer.latestSequence
        task.failedAttempts += attempt
        stopGangMembersOfAttempt(task, RunId(task.id, attempt))
        val limit = dependencies.policyOf(job.accepted.spec).maxAttempts
        if (task.step.failuresOf(task) < limit) return writer.markChanged(job)
        val changeSequence =
            jobRegistry.end(
                job,
                JobState.FAILED,
                "task ${RunId(task.id, attempt).toLogName()} has failed $limit times",
            )
        stopAll(job, "the job has failed")
        return changeSequence
    }

    /** Stops the other members of the same attempt; they also end by themselves, but that frees resources later. */
    private fun stopGangMembersOfAttempt(
        task: Task,
        ended: RunId,
    ) {
        if (!task.step.spec.isGang || task.isDone) return
        task.step.tasks.forEach { member ->
            member.run?.takeIf { it.id.attempt == ended.attempt }?.let {
                it.isGangBroken = true
                orders.stop(it, "a member has ended")
            }
        }
    }

    override fun onUnknownRun(
        session: WorkerSession,
        present: PresentRun,
    ): Resources {
        if (jobRegistry.isSetAside(present.id.task.job)) return needOf(present.id, session)
        val job = jobRegistry[present.id.task.job]
        val task = job?.task(present.id.task)
        if (job == null || task == null || !isAdoptable(job, task, session, present.id)) {
            log.record(
                SchedulerEvent.RUN_FOREIGN,
                present.id.toLogName(),
                "worker" to session.id,
                "known" to (task != null),
            )
            scope.launch { dependencies.link.stop(session.listed, present.id, ownership.epoch) }
            return needOf(present.id, session)
        }
        adopt(task, session, present)
        return Resources()
    }

    /** Returns what [run] holds on the worker; all of the worker if its job is not known. */
    private fun needOf(
        run: RunId,
        session: WorkerSession,
    ): Resources {
        val steps = jobRegistry[run.task.job]?.accepted?.spec?.steps
        return steps?.getOrNull(run.task.step)?.countedNeed ?: session.listed.capacity
    }

    private fun adopt(
        task: Task,
        session: WorkerSession,
        present: PresentRun,
    ) {
        val run = Run(present.id, task, session, RunState.RUNNING, clock.monotonicMs())
        run.checkpoint = present.checkpoint
        run.percent = present.percent
        run.firstPercent = present.percent
        run.confirmedAtMs = clock.monotonicMs()
        run.onBegun(clock.monotonicMs())
        run.isOrdered = true
        run.isUrgent = dependencies.policyOf(task.step.job.accepted.spec).priority == 0
        orders.attach(run)
        session.adoptLease(task.unresolvedIncarnationMs)
        task.unresolvedWorker = ""
        log.record(
            SchedulerEvent.RUN_ADOPTED,
            present.id.toLogName(),
            "worker" to session.id,
            "percent" to present.percent,
        )
        session.wake()
    }

    /** Whether [run] is the recorded run of an earlier owner and its task still has to be done. */
    private fun isAdoptable(
        job: Job,
        task: Task,
        session: WorkerSession,
        run: RunId,
    ): Boolean =
        job.isLive &&
            !task.isDone &&
            task.run == null &&
            task.unresolvedWorker == session.id &&
            task.lastAttempt == run.attempt

    /** Called once every run that earlier owners started on the worker [id] is known or has ended. */
    fun onWorkerSettled(id: String) {
        settle(jobRegistry.unresolvedTasksOn(id))
    }

    private fun settle(unresolved: List<Task>) {
        unresolved.forEach { it.unresolvedWorker = "" }
        replan()
    }

    /**
     * Releases the tasks whose leases of earlier owners have expired, but for those of the workers [awaited], which may be
     * about to list them, and of workers that have restarted since the start of the task: their incarnations are in
     * [newestIncarnationsMs]. Returns the number of tasks that are left.
     */
    fun releaseEarlierTasks(
        awaited: Set<String>,
        newestIncarnationsMs: Map<String, Long>,
    ): Int {
        val (released, left) =
            jobRegistry.unresolvedTasks().partition { task ->
                val isRestarted = (newestIncarnationsMs[task.unresolvedWorker] ?: 0) > task.unresolvedIncarnationMs
                task.unresolvedWorker !in awaited && !isRestarted
            }
        if (released.isNotEmpty() || left.isEmpty()) {
            log.record(
                SchedulerEvent.TAKEOVER_CLEAR,
                dependencies.settings.instance,
                "tasks" to released.size,
                "left" to left.size,
                "awaited" to awaited.size,
            )
        }
        settle(released)
        return left.size
    }

    /** Stops the running members of an incomplete gang. */
    fun stopIncompleteGang(step: StepRun) {
        step.tasks.forEach { task -> task.run?.let { orders.stop(it, "the gang is incomplete") } }
    }

    override fun onCrashed(
        session: WorkerSession,
        lost: List<LostRun>,
    ) = crashControl.onCrashed(session, lost)

    override fun onNewIncarnation(session: WorkerSession) {
        session.runs.values
            .toList()
            .forEach(orders::stopInNewIncarnation)
    }

    override fun onSettled(session: WorkerSession) {
        val unresolved = jobRegistry.unresolvedTasksOn(session.id)
        crashControl.onSettled(session, unresolved)
        settle(unresolved)
    }

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
        stopGangMembersOfAttempt(run.task, run.id)
        replan()
    }

    override fun onListed(session: WorkerSession) {
        progressMonitor.observe(session)
        session.runs.values.forEach { run -> if (run.checkpoint.isNotEmpty()) saveCheckpoint(run.task, run.checkpoint) }
        replan()
    }

    /** Ends [job] and stops its runs, because its progress cannot be stored. */
    fun onRejected(
        job: Job,
        reason: String,
    ) {
        jobRegistry.end(job, JobState.FAILED, "its progress cannot be stored: $reason")
        stopAll(job, "the job has failed")
    }

    /** Ends [job] and stops its runs if it was cancelled. */
    fun onJobChanged(job: Job) {
        if (!job.accepted.isCancelled || job.state.isEnded) return
        jobRegistry.end(job, JobState.CANCELLED, "cancelled by the caller")
        stopAll(job, "the job was cancelled")
    }

    private fun stopAll(
        job: Job,
        reason: String,
    ) {
        job.openSteps.forEach { step -> step.tasks.forEach { task -> task.run?.let { orders.stop(it, reason) } } }
    }

    /** Saves [checkpoint] for [task], or for all members of its gang, which share one checkpoint. */
    private fun saveCheckpoint(
        task: Task,
        checkpoint: String,
    ) {
        val affectedTasks = if (task.step.spec.isGang) task.step.tasks else listOf(task)
        affectedTasks.forEach { it.checkpoint = checkpoint }
    }

    private companion object {
        // Failed runs in a row after which no run is started on the worker for a while.
        const val FAILURES_UNTIL_AVOIDED = 2

        // A worker on which runs fail in a row is tried again after this time.
        const val FAILING_PAUSE_MS = 4_000L
    }
}
