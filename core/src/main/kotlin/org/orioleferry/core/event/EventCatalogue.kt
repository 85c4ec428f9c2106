package org.orioleferry.core.event

private const val HEADER =
    """# Events

Every process numbers its events by this catalogue. Numbers are stable and never reused.
The page is generated from `EventType`.

| number | name | level | what happened | what an operator does |
|---|---|---|---|---|
"""

/** Returns the Markdown of the page `docs/events.md`, ordered by event number. */
public fun eventCataloguePage(): String =
    HEADER +
        EventType.entries.sortedBy { it.number }.joinToString("") {
            "| ${it.number} | `${it.name}` | ${it.level} | ${it.meaning} | ${it.advice} |\n"
        }
