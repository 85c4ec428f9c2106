package org.orioleferry.scheduler.owner

import org.orioleferry.scheduler.model.Resources
import org.orioleferry.scheduler.workers.PresentRun
import org.orioleferry.scheduler.workers.RunEndRecord

/** Receives the events of a [WorkerSession]. */
internal interface SessionListener {
    /**
     * The worker has listed a run's end. Returns the sequence number of the change that must be stored before the end
     * is acknowledged.
     */
    fun onEnd(
        session: WorkerSession,
        end: RunEndRecord,
    ): Long

    /**
     * The worker has listed a run that the session does not know. Returns the resources that it holds until it has
     * ended; none if it was adopted and is now among the session's runs.
     */
    fun onUnknownRun(
        session: WorkerSession,
        present: PresentRun,
    ): Resources

    /** A run has certainly ended and the worker cannot list its end. */
    fun onGone(
        run: Run,
        reason: String,
    )

    /**
     * The worker has crashed while [lost] were on it, or may have been: orders without an answer are among them. Called
     * before the runs end.
     */
    fun onCrashed(
        session: WorkerSession,
        lost: List<LostRun>,
    )

    /**
     * The worker has restarted under the same id. Orders sent before this was known may have been executed in the new
     * incarnation, or may still be, so it is not certain that its runs have ended.
     */
    fun onNewIncarnation(session: WorkerSession)

    /** The worker has accepted the fencing token, and all its runs and ends have been reported. */
    fun onSettled(session: WorkerSession)

    /** The worker's listing was processed; free resources and progress may have changed. */
    fun onListed(session: WorkerSession)

    /** Sequence number up to which changes are stored. */
    val storedSequence: Long
}
