package org.orioleferry.core.event

import kotlinx.serialization.Serializable

/** Severity of an event. */
@Serializable
public enum class EventLevel { INFO, WARN, ERROR }

/**
 * One entry of an event timeline.
 *
 * @property number number of the event type in the catalogue `docs/events.md`.
 * @property logicalTime Lamport clock of the process, which orders a cause before its effect.
 * @property wallMs wall clock of the process, for display.
 * @property attributes values by name, such as `job`, `request`, `worker` and `workspace`, which [EventFilter] matches.
 */
@Serializable
public data class Event(
    val number: Int,
    val name: String,
    val level: EventLevel,
    val source: String,
    val logicalTime: Long,
    val wallMs: Long,
    val attributes: Map<String, String> = emptyMap(),
)

/** Records an event of [type] with the given attributes. */
public typealias EventSink = (type: EventType, attributes: Map<String, String>) -> Unit
