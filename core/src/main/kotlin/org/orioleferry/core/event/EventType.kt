package org.orioleferry.core.event

/**
 * Catalogue of numbered events. Numbers are stable and never reused.
 *
 * 1xxx process, 2xxx ownership, 3xxx membership, 4xxx release notes, 5xxx requests, 6xxx jobs, 7xxx platform.
 *
 * @property number stable number.
 * @property level severity.
 * @property meaning what happened.
 * @property advice recommended action of an operator.
 */
public enum class EventType(
    public val number: Int,
    public val level: EventLevel,
    public val meaning: String,
    public val advice: String,
) {
    PROCESS_STARTED(1001, EventLevel.INFO, "The process has started", "None"),
    PROCESS_READY(1002, EventLevel.INFO, "The process serves callers", "None"),
    DRAIN_STARTED(1003, EventLevel.INFO, "A graceful shutdown has begun", "None"),
    DRAIN_FINISHED(1004, EventLevel.INFO, "The shutdown has finished", "None"),
    OWNERSHIP_ACQUIRED(2001, EventLevel.INFO, "The instance owns a data centre", "None"),
    OWNERSHIP_RENEWAL_FAILED(2002, EventLevel.WARN, "A renewal did not reach the store", "Check the store"),
    OWNERSHIP_LOST(2003, EventLevel.WARN, "The instance no longer owns a data centre", "None if another one does"),
    OWNERSHIP_RELEASED(2004, EventLevel.INFO, "The instance gave up a data centre", "None"),
    PEER_SUSPECTED(3001, EventLevel.WARN, "Heartbeats of a peer are missing", "Check the link if it repeats"),
    PEER_DEAD(3002, EventLevel.WARN, "A peer is considered dead", "Check the instance"),
    PEER_JOINED(3003, EventLevel.INFO, "A peer is alive", "None"),
    UPSTREAM_LEAVING(3004, EventLevel.INFO, "A worker is leaving and gets no new work", "None"),
    UPSTREAM_QUARANTINED(3005, EventLevel.WARN, "A worker fails what it starts", "Inspect the worker"),
    UPSTREAM_RESTORED(3006, EventLevel.INFO, "A worker gets work again", "None"),
    UPSTREAM_DEAD(3007, EventLevel.WARN, "A worker does not answer probes", "Inspect the worker"),
    NOTE_COMMITTED(4001, EventLevel.INFO, "A release note was committed", "None"),
    NOTE_IN_FORCE(4002, EventLevel.INFO, "A release note is in force on this instance", "None"),
    NOTE_CONFLICT(4003, EventLevel.WARN, "A release note lost a race", "Review the winner and apply again"),
    REQUEST_DONE(5001, EventLevel.INFO, "A request was answered", "None"),
    REQUEST_REFUSED(5002, EventLevel.INFO, "A request was refused and did not run", "None"),
    REQUEST_UNKNOWN(5003, EventLevel.WARN, "The outcome of a request is unknown", "Wait for its resolution"),
    REQUEST_RESOLVED(5004, EventLevel.INFO, "The outcome of a request became known", "None"),
    REQUEST_DISPATCHED(5005, EventLevel.INFO, "A request was sent to a worker", "None"),
    JOB_ACCEPTED(6001, EventLevel.INFO, "A job was accepted", "None"),
    JOB_STARTING(6002, EventLevel.INFO, "A job's members are being reserved", "None"),
    JOB_RUNNING(6003, EventLevel.INFO, "All members of a job run", "None"),
    JOB_DONE(6004, EventLevel.INFO, "A job has finished", "None"),
    JOB_FAILED(6005, EventLevel.WARN, "A job has failed", "Read the reason"),
    JOB_REQUEUED(6006, EventLevel.WARN, "A job's gang was stopped and the job waits again", "None"),
    JOB_CANCELLED(6007, EventLevel.INFO, "A job was cancelled", "None"),
    JOB_RECLAIMED(6008, EventLevel.INFO, "A borrower was stopped for a guarantee", "None"),
    GUARANTEE_SHORTFALL(
        6009,
        EventLevel.ERROR,
        "The fleet no longer holds a guarantee",
        "Replace workers or change it",
    ),
    STORE_UNAVAILABLE(7001, EventLevel.WARN, "The table service does not answer", "Check the platform"),
    STORE_RECOVERED(7002, EventLevel.INFO, "The table service answers again", "None"),
}
