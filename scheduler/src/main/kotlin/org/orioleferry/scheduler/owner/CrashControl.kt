package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.placement.CrashedRun
import org.orioleferry.scheduler.placement.Suspicion
import org.orioleferry.scheduler.placement.certainCauses

/** Counts the crashes of workers under tasks, and ends the jobs whose tasks crash the workers that start them. */
internal class CrashControl(
    private val log: DecisionLog,
    private val jobRegistry: JobRegistry,
    private val writer: ProgressWriter,
    private val stopAll: (job: Job, reason: String) -> Unit,
) {
    /** [session]'s worker has crashed while [lost] were on it. */
    fun onCrashed(
        session: WorkerSession,
        lost: List<LostRun>,
    ) {
        // The next life answers each call until the entry of the worker is removed.
        val earlier =
            jobRegistry
                .unresolvedTasksOn(session.id)
                .map { it.toLostRun() }
                .filterNot { it.attempt in it.task.crashes }
        if (lost.isEmpty() && earlier.isEmpty()) return
        val crashed = lost.map { CrashedRun(it, it.task.group, it.provenMs) }
        // What ran on a worker of an earlier owner, and for how long, is not known in full.
        val causes = if (earlier.isEmpty()) certainCauses(crashed, session.ageMs()) else emptySet()
        log.record(
            SchedulerEvent.WORKER_CRASHED,
            session.id,
            "runs" to (lost + earlier).joinToString(" ") { "${it.id.toLogName()}:${it.provenMs}" },
            "certain" to causes.size,
        )
        (lost + earlier).forEach { count(it, session, it in causes) }
    }

    /** Counts the crash that has ended runs of earlier owners, those of [unresolved], before [session]'s worker was claimed. */
    fun onSettled(
        session: WorkerSession,
        unresolved: List<Task>,
    ) {
        unresolved
            .filter { it.unresolvedIncarnationMs in 1 until session.listed.incarnationMs }
            .forEach { count(it.toLostRun(), session, isCertain = false) }
    }

    private fun Task.toLostRun() = LostRun(this, lastAttempt, provenMs = 0, Presence.POSSIBLE)

    private fun count(
        lost: LostRun,
        session: WorkerSession,
        isCertain: Boolean,
    ) {
        jobRegistry.guarded(lost.task.step.job.id) { applyCrash(lost, session, isCertain) }
    }

    private fun applyCrash(
        lost: LostRun,
        session: WorkerSession,
        isCertain: Boolean,
    ) {
        val task = lost.task
        val job = task.step.job
        if (!job.isLive || task.isDone || !task.crashes.add(lost, isCertain)) return
        val suspicion = task.crashes.suspicion
        log.record(
            SchedulerEvent.TASK_SUSPECTED,
            lost.id.toLogName(),
            "worker" to session.id,
            "crashes" to task.crashes.count,
            "certain" to task.crashes.certainAttempts.size,
            "unconfirmed" to task.crashes.unconfirmedAttempts.size,
            "presence" to lost.presence,
            "provenMs" to lost.provenMs,
            "verdict" to suspicion,
        )
        if (suspicion == Suspicion.CULPRIT) {
            giveUp(lost)
        } else {
            writer.markChanged(job)
        }
    }

    private fun giveUp(lost: LostRun) {
        val job = lost.task.step.job
        val crashes = lost.task.crashes.count
        log.record(SchedulerEvent.TASK_GIVEN_UP, lost.id.toLogName(), "crashes" to crashes)
        jobRegistry.end(job, JobState.FAILED, "$crashes workers have crashed under task ${lost.id.toLogName()}")
        stopAll(job, "the job has failed")
    }
}
