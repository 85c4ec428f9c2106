package org.orioleferry.daemon.event

import io.github.oshai.kotlinlogging.KotlinLogging
import org.orioleferry.core.Clock
import org.orioleferry.core.event.Event
import org.orioleferry.core.event.EventLevel
import org.orioleferry.core.event.EventType

private val logger = KotlinLogging.logger("org.orioleferry.events")

/**
 * Records the events of this process in a bounded ring buffer, as one log line each, and in a count by type.
 *
 * Holds the Lamport clock of the process, which orders a cause before its effect even when wall clocks differ.
 *
 * @property capacity events kept; the oldest is dropped first.
 * @property count called once for each event, for metrics.
 */
internal class EventLog(
    private val source: String,
    private val clock: Clock,
    private val capacity: Int = DEFAULT_CAPACITY,
    private val count: (EventType) -> Unit = {},
) {
    private val ring = ArrayDeque<Event>()
    private var logicalTime = 0L

    /** Records one event. */
    fun record(
        type: EventType,
        attributes: Map<String, String>,
    ) {
        val event = append(type, attributes)
        count(type)
        log(event)
    }

    /** Moves the Lamport clock past [received], the logical time of a message from another process. */
    @Synchronized
    fun advanceLogicalTime(received: Long) {
        logicalTime = maxOf(logicalTime, received)
    }

    /** The current logical time, which is sent with messages to other processes. */
    @Synchronized
    fun logicalTime(): Long = logicalTime

    /** Events after logical time [since] that have every one of the [attributes]. */
    @Synchronized
    fun select(
        since: Long,
        attributes: Map<String, String>,
    ): List<Event> = ring.filter { it.logicalTime > since && it.attributes.entries.containsAll(attributes.entries) }

    @Synchronized
    private fun append(
        type: EventType,
        attributes: Map<String, String>,
    ): Event {
        logicalTime++
        val event = Event(type.number, type.name, type.level, source, logicalTime, clock.wallMs(), attributes)
        ring.addLast(event)
        if (ring.size > capacity) ring.removeFirst()
        return event
    }

    private fun log(event: Event) {
        val text = { event.toLogLine() }
        when (event.level) {
            EventLevel.INFO -> logger.info(text)
            EventLevel.WARN -> logger.warn(text)
            EventLevel.ERROR -> logger.error(text)
        }
    }

    companion object {
        const val DEFAULT_CAPACITY = 4_096
    }
}

private fun Event.toLogLine(): String {
    val pairs = attributes.entries.joinToString(" ") { (key, value) -> "$key=$value" }
    return "$number $name $pairs".trimEnd()
}
