package org.orioleferry.core.event

private const val HEADER =
    """# Events

Every process numbers its events by this catalogue. Numbers are stable and never reused.
The page is generated from `EventType`.

| number | name | level | what happened | what an operator does |
|---|---|---|---|---|
"""

/** The page `docs/events.md`, in the order of the numbers. */
public fun eventCataloguePage(): String =
    HEADER +
        EventType.entries.sortedBy { it.number }.joinToString("") {
            "| ${it.number} | `${it.name}` | ${it.level} | ${it.meaning} | ${it.advice} |\n"
        }
