package org.orioleferry.core.event

/** Orders a cause before its effect: by Lamport clock, then wall clock, then source, then number. */
public val CAUSAL_ORDER: Comparator<Event> =
    compareBy(Event::logicalTime, Event::wallMs, Event::source, Event::number)

/**
 * Merges the timelines of several processes into one in [CAUSAL_ORDER].
 *
 * An event that several processes report occurs once in the result.
 */
public fun mergeTimelines(timelines: Iterable<Iterable<Event>>): List<Event> =
    timelines.flatten().distinct().sortedWith(CAUSAL_ORDER)

/**
 * Selects events. An event matches when it satisfies every criterion that is not null.
 *
 * @property afterLogicalTime logical time after which events match; an event at that time does not.
 */
public data class EventFilter(
    val job: String? = null,
    val request: String? = null,
    val worker: String? = null,
    val workspace: String? = null,
    val afterLogicalTime: Long? = null,
) {
    /** Whether [event] is selected. */
    public fun matches(event: Event): Boolean {
        val wanted = mapOf(JOB to job, REQUEST to request, WORKER to worker, WORKSPACE to workspace)
        val hasAttributes = wanted.all { (name, value) -> value == null || event.attributes[name] == value }
        return hasAttributes && event.logicalTime > (afterLogicalTime ?: Long.MIN_VALUE)
    }

    public companion object {
        /** Attribute with the identifier of a job. */
        public const val JOB: String = "job"

        /** Attribute with the identifier of a request. */
        public const val REQUEST: String = "request"

        /** Attribute with the identifier of a worker. */
        public const val WORKER: String = "worker"

        /** Attribute with the name of a workspace. */
        public const val WORKSPACE: String = "workspace"
    }
}
