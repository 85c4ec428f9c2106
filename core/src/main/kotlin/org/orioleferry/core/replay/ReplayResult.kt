package org.orioleferry.core.replay

/** How a job ended in a replay. */
public enum class ReplayEnd {
    /** Ran to its end. */
    DONE,

    /** Cancelled by its caller. */
    CANCELLED,

    /** Refused at submission, since it fits on no idle data centre or exceeds its quota. */
    NEVER_FITS,

    /** Taken out of the replay after it was stopped for other jobs [MAX_STOPS] times. */
    STOPPED_TOO_OFTEN,

    /** Still waiting at the end of the replay. */
    NEVER_STARTED,
    ;

    public companion object {
        /** Limit of the stops of one job. Without it, two jobs that stop each other in turns would run forever. */
        public const val MAX_STOPS: Int = 100
    }
}

/**
 * Outcome of one job. Times are in milliseconds since the start of the stream.
 *
 * @property drainBoundMs least time from submission until running work would have freed room for the gang.
 * @property stops number of times that the job was stopped for another.
 */
public data class ReplayedJob(
    val job: StreamJob,
    val end: ReplayEnd,
    val firstStartMs: Long?,
    val endedMs: Long?,
    val drainBoundMs: Long,
    val stops: Int,
) {
    /** Time from submission to the first start, or null when the job never started. */
    public val waitMs: Long? get() = firstStartMs?.let { it - job.submittedMs }

    /** Time from submission to the end, relative to the run time; null unless the job is done. */
    public val slowdown: Double?
        get() = endedMs?.takeIf { end == ReplayEnd.DONE }?.let { (it - job.submittedMs).toDouble() / job.workMs }
}

/**
 * State of the fleet at one moment.
 *
 * @property waiting accelerators that waiting jobs ask for.
 * @property scattered free accelerators on workers that are partly in use.
 * @property probeStarts whether a gang of two whole workers in one rack would start at once.
 */
public data class ReplaySample(
    val timeMs: Long,
    val capacity: Int,
    val used: Int,
    val waiting: Int,
    val waitingJobs: Int,
    val scattered: Int,
    val probeStarts: Boolean,
) {
    /** Share of the free accelerators that no gang of whole workers can use. */
    public val fragmentation: Double get() = if (used == capacity) 0.0 else scattered.toDouble() / (capacity - used)
}

/** Result of a replay. [samples] are in the order of time, one every [SAMPLE_MS]. */
public data class ReplayResult(
    val jobs: List<ReplayedJob>,
    val samples: List<ReplaySample>,
    val steps: Long,
) {
    public companion object {
        /** Period of the samples in milliseconds. */
        public const val SAMPLE_MS: Long = 300_000
    }
}
