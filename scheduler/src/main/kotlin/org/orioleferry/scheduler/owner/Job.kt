package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.model.AcceptedJob
import org.orioleferry.scheduler.model.JobLimits
import org.orioleferry.scheduler.model.JobProgress
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.Resources
import org.orioleferry.scheduler.model.StartedRun
import org.orioleferry.scheduler.model.StepProgress
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.workers.TaskId

/** A task, the unit that runs on one worker. */
internal class Task(
    val id: TaskId,
    val step: StepRun,
) {
    var isDone = false
    val failedAttempts = sortedSetOf<Int>()
    val crashes = TaskCrashes(step.spec.isLasting)
    var checkpoint = ""

    /** What runs that start and end together share: the step of a gang, or the task itself. */
    val group: Any get() = if (step.spec.isGang) step else this

    /** Highest attempt that is known to have been ordered. */
    var lastAttempt = 0
    var run: Run? = null

    /**
     * Id of the worker on which an earlier owner's run may still exist, or empty; no run is started until this is
     * resolved.
     */
    var unresolvedWorker = ""

    /** Incarnation of [unresolvedWorker] on which the run was started, or 0 if it is not known. */
    var unresolvedIncarnationMs = 0L

    /** Number of times that the task was stopped in this term to make room for others. */
    var preemptions = 0

    /** Monotonic time before which the task is not started again. */
    var notBeforeMs = 0L
}

/** One occurrence of a step. */
internal class StepRun(
    val job: Job,
    val occurrence: Int,
    val index: Int,
    val spec: StepSpec,
) {
    val tasks: List<Task> = List(spec.count) { Task(TaskId(job.id, occurrence, index, it), this) }

    /** Resources allocated to a task; a step that uses only spare processor time is allocated none of it. */
    val countedNeed: Resources = spec.countedNeed

    /** Monotonic time at which the step was first seen to be ready, or -1. */
    var readySinceMs: Long = -1
    val isDone: Boolean get() = !spec.isLasting && remainingTaskCount == 0
    var remainingTaskCount: Int = spec.count
        private set

    val advice = StepAdvice()

    /** Restarts of the step's tasks because their progress stalled. */
    var stallRestarts = 0

    /** Whether runs of the step were restarted because their worker was slow; this happens once, since the task may be long. */
    var hasSlowRestart = false

    /** Workers reserved for this step while preempted runs stop, one entry for each task. */
    var reserved: List<WorkerSession> = emptyList()

    /** Monotonic time at which [reserved] was set. */
    var reservedAtMs = 0L

    /** Number of runs that were stopped for [reserved]. */
    var preemptedRuns = 0

    /** Whether the work of the step is part of the mean of its queue. */
    var isWorkRecorded = false

    /** Returns the number of failed attempts that count against the limit of [task]; a gang fails as a whole. */
    fun failuresOf(task: Task): Int =
        if (spec.isGang) tasks.flatMapTo(HashSet()) { it.failedAttempts }.size else task.failedAttempts.size

    fun markDone(task: Task) {
        if (task.isDone) return
        task.isDone = true
        remainingTaskCount--
    }
}

/**
 * In-memory state of a job at the owner.
 *
 * @property acceptedVersion version of the acceptance row, which holds [accepted].
 * @property progressVersion version of the progress row, or 0 if there is none.
 */
internal class Job(
    var accepted: AcceptedJob,
    var acceptedVersion: Long,
    stored: JobProgress?,
    var progressVersion: Long,
    limits: JobLimits,
) {
    val id: String get() = accepted.spec.id
    var state: JobState = stored?.state ?: JobState.QUEUED

    /** Wall-clock time in ms at which the job ended, or 0. */
    var endedMs: Long = stored?.endedMs ?: 0

    /** Whether the job has neither ended nor been cancelled, so that its tasks may be started. */
    val isLive: Boolean get() = !state.isEnded && !accepted.isCancelled

    /** Whether a run is known to have begun. A start without an answer leaves it open. */
    var hasBegun: Boolean = stored?.hasBegun ?: (state != JobState.QUEUED)

    /** Accelerators needed by the step that needs most of them. */
    val maxStepAccelerators: Int = accepted.spec.steps.maxOfOrNull { it.count * it.need.accelerators } ?: 0

    /** Most occurrences that may be open at a time. */
    val maxOpenOccurrences: Int = limits.openOccurrencesOf(accepted.spec)

    /** Most tasks that may be begun and not done at a time. */
    private val maxBegunTasks: Int = limits.begunTasksOf(accepted.spec)
    private val taskCount: Long = accepted.spec.steps.sumOf { it.count.toLong() }

    /** Most tasks of the job that the owner keeps at a time. */
    val openTaskLimit: Long = taskCount * maxOpenOccurrences

    private val stepsByOccurrence = sortedMapOf<Int, List<StepRun>>()
    private val finishedOccurrences = HashSet<Int>()

    /** Number of runs that are not certain to have ended. */
    var liveRunCount = 0

    init {
        stored?.steps?.forEach { restore(it) }
    }

    /** Steps of the occurrences that have begun and are not finished. */
    val openSteps: List<StepRun> get() = stepsByOccurrence.values.flatten()

    /** Returns the steps of occurrence [number], created on first use; null if it is finished or does not exist. */
    fun occurrence(number: Int): List<StepRun>? {
        if (number !in 0 until accepted.spec.occurrences || number in finishedOccurrences) return null
        return stepsByOccurrence.getOrPut(number) {
            accepted.spec.steps.mapIndexed {
                index,
                spec,
                ->
                StepRun(this, number, index, spec)
            }
        }
    }

    fun task(id: TaskId): Task? = occurrence(id.occurrence)?.getOrNull(id.step)?.tasks?.getOrNull(id.index)

    /**
     * Returns those of [waiting], tasks of one step in order, that may be started without exceeding the number of begun
     * tasks whose progress fits into the job's row.
     */
    fun startable(waiting: List<Task>): List<Task> {
        if (openTaskLimit <= maxBegunTasks) return waiting
        val begun = openSteps.sumOf { step -> step.tasks.count { it.lastAttempt > 0 && !it.isDone } }
        var left = maxBegunTasks - begun
        return waiting.filter { it.lastAttempt > 0 || left-- > 0 }
    }

    fun steps(number: Int): List<StepRun> = stepsByOccurrence[number].orEmpty()

    /** Marks occurrences whose steps are all done as finished. Returns whether all occurrences are finished. */
    fun settleOccurrences(): Boolean {
        stepsByOccurrence.entries.filter { (_, steps) -> steps.all { it.isDone } }.map { it.key }.forEach {
            stepsByOccurrence.remove(it)
            finishedOccurrences += it
        }
        return finishedOccurrences.size == accepted.spec.occurrences
    }

    /** Whether occurrence [number] is finished. */
    fun isFinished(number: Int): Boolean = number in finishedOccurrences

    fun toProgress(): JobProgress {
        if (state.isEnded) return JobProgress(state, endedMs = endedMs, workspace = accepted.spec.workspace)
        val tracked = trackedTasks()
        val summaries = finishedOccurrences.sorted().map { StepProgress(it, WHOLE_OCCURRENCE, isDone = true) }
        return JobProgress(
            state,
            summaries +
                openSteps.mapNotNull {
                    progressOf(it, tracked)
                },
            workspace = accepted.spec.workspace,
            hasBegun = hasBegun,
        )
    }

    /** Returns the tasks whose crashes are stored, within the row's size: those with the most crashes first. */
    private fun trackedTasks(): Set<Task> {
        val begun = openSteps.flatMap { step -> step.tasks.filter { it.lastAttempt > 0 && !it.isDone } }
        val chosen =
            if (begun.size <= JobLimits.MAX_TRACKED_TASKS) begun else begun.sortedByDescending { it.crashes.count }
        return chosen.take(JobLimits.MAX_TRACKED_TASKS).toSet()
    }

    private fun progressOf(
        step: StepRun,
        tracked: Set<Task>,
    ): StepProgress? {
        if (step.isDone) return StepProgress(step.occurrence, step.index, isDone = true)
        val done = step.tasks.filter { it.isDone }.map { it.id.index }
        val failures =
            step.tasks.filter { it.failedAttempts.isNotEmpty() }.associate {
                it.id.index to
                    it.failedAttempts.toList()
            }
        val checkpoints =
            step.tasks.filter { it.checkpoint.isNotEmpty() && !it.isDone }.associate {
                it.id.index to
                    it.checkpoint
            }
        val started =
            step.tasks.filter { it.lastAttempt > 0 && !it.isDone }.associate {
                it.id.index to
                    startOf(it, it in tracked)
            }
        val crashed = step.tasks.filter { it in tracked && it.crashes.count > 0 }
        if (done.isEmpty() && failures.isEmpty() && checkpoints.isEmpty() && started.isEmpty()) return null
        return StepProgress(
            step.occurrence,
            step.index,
            false,
            done,
            failures,
            checkpoints,
            started,
            attemptsByIndex(crashed) { it.crashes.sharedAttempts },
            attemptsByIndex(crashed) { it.crashes.certainAttempts },
            attemptsByIndex(crashed) { it.crashes.unconfirmedAttempts },
        )
    }

    private fun attemptsByIndex(
        tasks: List<Task>,
        attemptsOf: (Task) -> Set<Int>,
    ): Map<Int, List<Int>> =
        tasks.filter { attemptsOf(it).isNotEmpty() }.associate { it.id.index to attemptsOf(it).toList() }

    private fun startOf(
        task: Task,
        isTracked: Boolean,
    ): StartedRun {
        val run = task.run
        val incarnationMs = if (run == null) task.unresolvedIncarnationMs else run.incarnationMs
        return StartedRun(
            task.lastAttempt,
            run?.session?.id ?: task.unresolvedWorker,
            if (isTracked) incarnationMs else 0,
        )
    }

    private fun restore(stored: StepProgress) {
        if (stored.step == WHOLE_OCCURRENCE) {
            finishedOccurrences += stored.occurrence
            return
        }
        val step = occurrence(stored.occurrence)?.getOrNull(stored.step) ?: return
        step.tasks.forEach { task ->
            if (stored.isDone || task.id.index in stored.done) step.markDone(task)
            task.failedAttempts += stored.failures[task.id.index].orEmpty()
            task.crashes.sharedAttempts += stored.crashes[task.id.index].orEmpty()
            task.crashes.certainAttempts += stored.certainCrashes[task.id.index].orEmpty()
            task.crashes.unconfirmedAttempts += stored.unconfirmedCrashes[task.id.index].orEmpty()
            task.checkpoint = stored.checkpoints[task.id.index] ?: ""
            val started = stored.started[task.id.index]
            task.lastAttempt = maxOf(started?.attempt ?: 0, task.failedAttempts.lastOrNull() ?: 0)
            if (!task.isDone) {
                task.unresolvedWorker = started?.worker.orEmpty()
                task.unresolvedIncarnationMs = started?.incarnationMs ?: 0
            }
        }
    }

    private companion object {
        // Step number that stands for all steps of a finished occurrence.
        const val WHOLE_OCCURRENCE = -1
    }
}
