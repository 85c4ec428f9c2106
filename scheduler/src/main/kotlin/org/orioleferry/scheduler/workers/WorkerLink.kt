package org.orioleferry.scheduler.workers

import org.orioleferry.scheduler.model.Resources

/** Name of a task: occurrence, step and index count from 0. */
public data class TaskId(
    val job: String,
    val occurrence: Int,
    val step: Int,
    val index: Int,
)

/** One run of a task. [attempt] numbers the runs of a task and grows. */
public data class RunId(
    val task: TaskId,
    val attempt: Int,
)

/**
 * One life of a worker as the directory lists it.
 *
 * @property bornMs start of this life (Unix ms); a higher value under the same id is a new life.
 * @property isDraining whether the worker is leaving and takes no new work.
 */
public data class ListedWorker(
    val id: String,
    val address: String,
    val service: String,
    val dataCentre: String,
    val rack: String,
    val labels: Set<String>,
    val room: Resources,
    val bornMs: Long,
    val isDraining: Boolean,
)

/** A run that is present at a worker. [percent] is the finished share. */
public data class PresentRun(
    val id: RunId,
    val checkpoint: String,
    val percent: Double,
)

/** How a run ended. */
public enum class RunEnding {
    DONE,

    /** Through its own fault or the worker's. */
    FAILED,
    STOPPED,

    /** The lease at the worker ran out. */
    LAPSED,

    /** Another member of the gang ended. */
    BROKEN,

    /** The other members of the gang did not appear in time. */
    ALONE,
}

/** An end as the worker lists it. [number] grows from 1 within one life of the worker. */
public data class ListedEnd(
    val number: Long,
    val id: RunId,
    val ending: RunEnding,
    val checkpoint: String,
)

/** Result of a call that lists a worker's runs. */
public sealed interface HoldResult {
    public data class Held(
        val clockMs: Long,
        val bornMs: Long,
        val present: List<PresentRun>,
        val ends: List<ListedEnd>,
    ) : HoldResult

    /** The worker has seen a higher fencing token. */
    public data object Fenced : HoldResult

    /** Another life of the worker answers at the address. */
    public data object OtherLife : HoldResult

    public data class Unreachable(
        val reason: String,
    ) : HoldResult
}

/** Order to start a run. [deadlineMs] is on the worker's clock. */
public data class StartOrder(
    val run: RunId,
    val payload: String,
    val deadlineMs: Long,
    val fence: Long,
    val checkpoint: String = "",
    val ticket: String = "",
)

/** Why a worker refused a start. */
public enum class StartRefusal {
    FENCED,

    /** The attempt is not higher than one that ended or was stopped there. */
    OLD_ATTEMPT,
    LATE,
    NO_ROOM,
    NO_TICKET,

    /** The worker is unhealthy or overloaded. */
    UNHEALTHY,
    OTHER_LIFE,
    INVALID,
}

/** Result of a start. */
public sealed interface StartResult {
    public data object Started : StartResult

    /** The worker did nothing. */
    public data class Refused(
        val reason: StartRefusal,
    ) : StartResult

    /** No answer: the order may have been carried out, or may be later. */
    public data class Unknown(
        val reason: String,
    ) : StartResult
}

/** Result of a stop. After [Accepted] the run never begins and is ending if it was there. */
public enum class StopResult { ACCEPTED, FENCED, OTHER_LIFE, UNKNOWN }

/** Calls to one worker. */
public interface WorkerLink {
    /**
     * Extends the lease of all runs to [deadlineMs] (the worker's clock; null leaves it), forgets ends up to
     * [lastSeen] and waits at most [waitMs] for a further end.
     */
    public suspend fun hold(
        worker: ListedWorker,
        fence: Long,
        lastSeen: Long,
        deadlineMs: Long?,
        waitMs: Int,
    ): HoldResult

    public suspend fun start(
        worker: ListedWorker,
        order: StartOrder,
    ): StartResult

    public suspend fun stop(
        worker: ListedWorker,
        run: RunId,
        fence: Long,
    ): StopResult
}

/** Reads the directory of workers. */
public interface WorkerDirectory {
    /** Changes since the last call, or everything when there was none. */
    public suspend fun refresh(): DirectoryResult
}

/** Result of reading the directory. */
public sealed interface DirectoryResult {
    /**
     * All [workers] that are listed now, by id, and those that have [left] on their own since the last call. A worker that
     * merely fell silent is neither: it may run on behind a cut.
     */
    public data class Listed(
        val workers: Map<String, ListedWorker>,
        val left: Set<String> = emptySet(),
    ) : DirectoryResult

    public data class Unavailable(
        val reason: String,
    ) : DirectoryResult
}
