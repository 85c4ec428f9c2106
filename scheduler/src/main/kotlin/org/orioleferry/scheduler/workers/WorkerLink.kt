package org.orioleferry.scheduler.workers

import org.orioleferry.scheduler.model.Resources

/** Identifies a task. [occurrence], [step] and [index] count from 0. */
public data class TaskId(
    val job: String,
    val occurrence: Int,
    val step: Int,
    val index: Int,
)

/** Identifies one run of a task. [attempt] increases with each run of the task. */
public data class RunId(
    val task: TaskId,
    val attempt: Int,
)

/**
 * One incarnation of a worker as listed in the directory.
 *
 * @property incarnationMs wall-clock time at which this incarnation started, Unix ms; a higher value under the same id
 *   is a new incarnation.
 * @property isDraining whether the worker is leaving and takes no new work.
 * @property leavesAtMs earliest time at which a draining worker leaves, on its own clock in ms, or null if not known.
 * @property coldUntilMs time until which the worker is slow after its start or an evacuation, on its own clock in ms, or
 *   null if it is not.
 */
public data class ListedWorker(
    val id: String,
    val address: String,
    val service: String,
    val dataCentre: String,
    val rack: String,
    val labels: Set<String>,
    val capacity: Resources,
    val incarnationMs: Long,
    val isDraining: Boolean,
    val leavesAtMs: Long? = null,
    val coldUntilMs: Long? = null,
)

/**
 * A run that is present on a worker. [checkpoint] is its latest checkpoint, or empty; [percent] is the share of its
 * work that is done, 0 to 100.
 */
public data class PresentRun(
    val id: RunId,
    val checkpoint: String,
    val percent: Double,
)

/** How a run ended. */
public enum class RunEnding {
    DONE,

    /** The run failed, through its own fault or the worker's. */
    FAILED,
    STOPPED,

    /** The lease on the worker expired. */
    LAPSED,

    /** The run was ended because another member of its gang had ended. */
    BROKEN,

    /** The other members of the gang did not start in time. */
    ALONE,
}

/** The end of a run as listed by its worker. [number] counts up from 1 within one incarnation of the worker. */
public data class RunEndRecord(
    val number: Long,
    val id: RunId,
    val ending: RunEnding,
    val checkpoint: String,
)

/** Result of a lease renewal, which also lists the worker's runs. */
public sealed interface RenewalResult {
    /**
     * The leases are renewed. [clockMs] is the time on the worker's clock, [present] lists the runs on the worker, and
     * [ends] the ends that are not acknowledged yet, in the order of their numbers. With [mayHaveMoreEnds] the list of
     * ends may be cut off; the others are listed once these are acknowledged.
     */
    public data class Renewed(
        val clockMs: Long,
        val incarnationMs: Long,
        val present: List<PresentRun>,
        val ends: List<RunEndRecord>,
        val mayHaveMoreEnds: Boolean = false,
    ) : RenewalResult

    /** The worker has seen a higher fencing token. */
    public data object Fenced : RenewalResult

    /** A different incarnation of the worker answers at the address. */
    public data object OtherIncarnation : RenewalResult

    /** No usable answer. [isClosed] tells whether the connection was closed or refused, as when a process has ended. */
    public data class Unreachable(
        val reason: String,
        val isClosed: Boolean = false,
    ) : RenewalResult
}

/** Order to start a run. [deadlineMs] is the end of the lease on the worker's clock, [fence] the fencing token. */
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

    /** The attempt is not higher than one that already ended or was stopped on the worker. */
    OLD_ATTEMPT,

    /** The deadline of the order has passed on the worker's clock. */
    LATE,
    NO_ROOM,
    NO_TICKET,

    /** The worker is unhealthy or overloaded. */
    UNHEALTHY,

    /** A different incarnation of the worker answers at the address. */
    OTHER_LIFE,
    INVALID,
}

/** Result of a start. */
public sealed interface StartResult {
    /** The run is on the worker, whose clock showed [clockMs]. */
    public data class Started(
        val clockMs: Long,
    ) : StartResult

    /** The worker did not start the run. */
    public data class Refused(
        val reason: StartRefusal,
    ) : StartResult

    /** No answer arrived. The worker may have started the run, or may do so later. */
    public data class Unknown(
        val reason: String,
    ) : StartResult
}

/** Result of a stop. After [StopResult.ACCEPTED] the run never starts, and ends if it was already present. */
public enum class StopResult { ACCEPTED, FENCED, OTHER_LIFE, UNKNOWN }

/** Calls to the workers. The fencing token `fence` of a call is the epoch of the ownership. */
public interface WorkerLink {
    /**
     * Extends the lease of all runs to [deadlineMs] on the worker's clock (null leaves it unchanged), acknowledges the
     * ends up to number [lastSeen], which the worker then discards, and waits at most [waitMs] ms for a further end.
     */
    public suspend fun renewLeases(
        worker: ListedWorker,
        fence: Long,
        lastSeen: Long,
        deadlineMs: Long?,
        waitMs: Int,
    ): RenewalResult

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
    /** Brings the view of the directory up to date and returns it. The first call reads the whole directory. */
    public suspend fun refresh(): DirectoryResult
}

/** Result of reading the directory. */
public sealed interface DirectoryResult {
    /**
     * All [workers] that are currently listed, by id, and the ids of the [departed] ones, which have deregistered since
     * the last call. A worker that only stopped responding is in neither: it may keep running behind a network
     * partition.
     */
    public data class Listed(
        val workers: Map<String, ListedWorker>,
        val departed: Set<String> = emptySet(),
    ) : DirectoryResult

    public data class Unavailable(
        val reason: String,
    ) : DirectoryResult
}
