package org.orioleferry.scheduler

/**
 * Writes one structured log line for each decision about a job, run or worker and each change of the process's state.
 *
 * Implementations must not block; they may drop lines under load if they count the dropped lines.
 */
public fun interface DecisionLog {
    /** Records [event] for the job, run, worker or instance [id] with the inputs that decided it. */
    public fun record(
        event: SchedulerEvent,
        id: String,
        vararg inputs: Pair<String, Any?>,
    )
}

/** Log events with stable numbers: 81xx process, 82xx ownership, 83xx jobs, 84xx workers. */
public enum class SchedulerEvent(
    public val number: Int,
) {
    PROCESS_STARTED(8101),
    DRAIN_STARTED(8103),
    PROCESS_STOPPED(8104),
    SETTINGS_RELOADED(8105),
    STORE_LOST(8106),
    STORE_REGAINED(8107),
    MANIFEST_IN_FORCE(8108),
    MANIFEST_UNREADABLE(8109),
    PORT_TAKEN(8110),
    LISTENERS_CLOSED(8111),
    EVACUATION_REQUESTED(8112),
    EVACUATION_WITHDRAWN(8113),
    EVACUATION_UNREADABLE(8114),
    OWNERSHIP_ACQUIRED(8201),
    OWNERSHIP_LOST(8202),
    OWNERSHIP_RELEASED(8203),
    RENEWAL_FAILED(8204),
    TERM_LOADED(8205),
    TAKEOVER_CLEAR(8206),
    TERM_NOT_LOADED(8207),
    OWNER_USAGE(8208),
    EVACUATION_IN_FORCE(8209),
    EVACUATION_FINISHED(8210),
    EVACUATION_UNKNOWN(8211),
    EVACUATIONS_UNCONFIRMED(8212),
    EVACUATIONS_CONFIRMED(8213),
    JOB_ACCEPTED(8301),
    JOB_OUTCOME_UNKNOWN(8303),
    JOB_CANCEL_ACCEPTED(8304),
    JOB_SEEN(8305),
    JOB_ENDED(8306),
    JOB_UNREADABLE(8307),
    CALL_REFUSED(8308),
    CALL_SLOW(8309),
    PROGRESS_FAILED(8311),
    PROGRESS_REJECTED(8312),
    JOB_SET_ASIDE(8313),
    CALL_MISDIRECTED(8314),
    JOBS_REREAD(8315),
    CALL_PASSED_ON(8316),
    JOB_REFUSED(8317),
    RUN_STARTED(8401),
    RUN_START_REFUSED(8402),
    RUN_START_UNKNOWN(8403),
    RUN_STOP(8404),
    RUN_ENDED(8405),
    RUN_ADOPTED(8406),
    RUN_FOREIGN(8407),
    RUN_START_DIVERTED(8408),
    WORKER_CLAIMED(8410),
    WORKER_LOST(8411),
    WORKER_REBORN(8412),
    WORKER_DRAINING(8413),
    WORKER_SUSPECTED(8414),
    STEP_PREEMPTS(8415),
    STEP_ADVISED(8416),
    SERVICE_USAGE(8417),
    QUEUE_USAGE(8418),
    WORKER_CRASHED(8419),
    TASK_SUSPECTED(8420),
    TASK_GIVEN_UP(8421),
    PREEMPTION_UNUSED(8422),
    INTERNAL_ERROR(8901),
}
