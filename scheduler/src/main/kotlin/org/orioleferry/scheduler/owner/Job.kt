package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.model.AcceptedJob
import org.orioleferry.scheduler.model.JobProgress
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.Resources
import org.orioleferry.scheduler.model.StartedRun
import org.orioleferry.scheduler.model.StepProgress
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.workers.RunId
import org.orioleferry.scheduler.workers.TaskId

/** State of a run as the owner knows it. */
internal enum class RunState {
    /** The order is on its way or its outcome is not known yet. */
    STARTING,
    RUNNING,

    /** A stop was decided; the room stays taken until the end is certain. */
    STOPPING,
}

/** A run of a task on a worker. It exists until its end is certain. */
internal class Run(
    val id: RunId,
    val task: Task,
    val session: WorkerSession,
    var state: RunState,
    val startedAtMs: Long,
) {
    val queue: String get() = task.step.job.accepted.spec.queue
    val estimateMs: Long get() = task.step.spec.estimateMs
    var checkpoint: String = ""
    var ticket: String = ""
    var percent: Double = 0.0

    /** The first progress that the worker listed, and when: a resumed run does not begin at 0. */
    var firstPercent: Double = 0.0
    var firstPercentAtMs: Long = startedAtMs

    /** Whether the run belongs to a queue of the highest priority. */
    var isUrgent = false

    /** Whether the duration of the run says something about its worker: neither resumed nor away from its data. */
    var isTelling = false

    /** Monotonic time at which [percent] was last seen to grow. */
    var progressedAtMs: Long = startedAtMs

    /** When the checkpoint was last seen to change. */
    var savedAtMs: Long = startedAtMs

    /** Monotonic time at which the worker confirmed the start; holds sent later have to list the run. */
    var confirmedAtMs: Long? = null
}

/** A task: the unit that runs on one worker. */
internal class Task(
    val id: TaskId,
    val step: StepRun,
) {
    var isDone = false
    val failedAttempts = sortedSetOf<Int>()
    var checkpoint = ""

    /** Highest attempt that is known to have been ordered. */
    var lastAttempt = 0
    var run: Run? = null

    /** Worker on which an earlier owner may have left a run; nothing is started before that is settled. */
    var suspectedOn = ""

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

    /** Room that a task takes; spare processor time is not counted. */
    val countedNeed: Resources = if (spec.usesSpareCpu) spec.need.copy(cpuMillis = 0) else spec.need
    var readySinceMs: Long = -1
    val isDone: Boolean get() = !spec.isLasting && remaining == 0
    var remaining: Int = spec.count
        private set

    val advice = StepAdvice()

    /** Restarts of the step because a worker stood still. */
    var stalls = 0

    /** Workers that are being emptied for this step, an entry for each task. */
    var reserved: List<WorkerSession> = emptyList()
    var reservedAtMs = 0L

    /** Failed runs that count against the limit of [task]; a gang fails as a whole. */
    fun failuresOf(task: Task): Int =
        if (spec.isGang) tasks.flatMapTo(HashSet()) { it.failedAttempts }.size else task.failedAttempts.size

    fun markDone(task: Task) {
        if (task.isDone) return
        task.isDone = true
        remaining--
    }
}

/** A job as the owner keeps it in memory. */
internal class Job(
    var accepted: AcceptedJob,
    var acceptedVersion: Long,
    stored: JobProgress?,
    var progressVersion: Long,
) {
    val id: String get() = accepted.spec.id
    var state: JobState = stored?.state ?: JobState.QUEUED
    var endedMs: Long = stored?.endedMs ?: 0
    val isLive: Boolean get() = !state.isEnded && !accepted.isCancelled

    /** Whether a task has ever started. */
    var hasBegun: Boolean = state != JobState.QUEUED

    /** Accelerators that the widest step needs. */
    val widestNeed: Int = accepted.spec.steps.maxOf { it.count * it.need.accelerators }

    private val occurrences = sortedMapOf<Int, List<StepRun>>()
    private val finished = HashSet<Int>()

    /** Runs that are not certain to have ended. */
    var liveRuns = 0

    init {
        stored?.steps?.forEach { restore(it) }
    }

    /** Steps of the occurrences that have begun and are not finished. */
    val openSteps: List<StepRun> get() = occurrences.values.flatten()

    /** Steps of occurrence [number], made when first asked for; null when it is finished or does not exist. */
    fun occurrence(number: Int): List<StepRun>? {
        if (number !in 0 until accepted.spec.occurrences || number in finished) return null
        return occurrences.getOrPut(number) {
            accepted.spec.steps.mapIndexed {
                at,
                spec,
                ->
                StepRun(this, number, at, spec)
            }
        }
    }

    fun task(id: TaskId): Task? = occurrence(id.occurrence)?.getOrNull(id.step)?.tasks?.getOrNull(id.index)

    fun steps(number: Int): List<StepRun> = occurrences[number].orEmpty()

    /** Closes occurrences whose steps are done and tells whether the whole job is. */
    fun settleOccurrences(): Boolean {
        occurrences.entries.filter { (_, steps) -> steps.all { it.isDone } }.map { it.key }.forEach {
            occurrences.remove(it)
            finished += it
        }
        return finished.size == accepted.spec.occurrences
    }

    /** Whether occurrence [number] is finished. */
    fun isFinished(number: Int): Boolean = number in finished

    fun toProgress(): JobProgress {
        if (state.isEnded) return JobProgress(state, endedMs = endedMs, workspace = accepted.spec.workspace)
        val whole = finished.sorted().map { StepProgress(it, WHOLE_OCCURRENCE, isDone = true) }
        return JobProgress(state, whole + openSteps.mapNotNull(::progressOf), workspace = accepted.spec.workspace)
    }

    private fun progressOf(step: StepRun): StepProgress? {
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
        val started = step.tasks.filter { it.lastAttempt > 0 && !it.isDone }.associate { it.id.index to startOf(it) }
        if (done.isEmpty() && failures.isEmpty() && checkpoints.isEmpty() && started.isEmpty()) return null
        return StepProgress(step.occurrence, step.index, false, done, failures, checkpoints, started)
    }

    private fun startOf(task: Task) = StartedRun(task.lastAttempt, task.run?.session?.id ?: task.suspectedOn)

    private fun restore(stored: StepProgress) {
        if (stored.step == WHOLE_OCCURRENCE) {
            finished += stored.occurrence
            return
        }
        val step = occurrence(stored.occurrence)?.getOrNull(stored.step) ?: return
        step.tasks.forEach { task ->
            if (stored.isDone || task.id.index in stored.done) step.markDone(task)
            task.failedAttempts += stored.failures[task.id.index].orEmpty()
            task.checkpoint = stored.checkpoints[task.id.index] ?: ""
            val started = stored.started[task.id.index]
            task.lastAttempt = maxOf(started?.attempt ?: 0, task.failedAttempts.lastOrNull() ?: 0)
            if (!task.isDone) task.suspectedOn = started?.worker.orEmpty()
        }
    }

    private companion object {
        // Step number that stands for all steps of a finished occurrence.
        const val WHOLE_OCCURRENCE = -1
    }
}
