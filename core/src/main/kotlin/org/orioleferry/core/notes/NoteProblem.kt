package org.orioleferry.core.notes

import org.orioleferry.core.model.Configuration

/** One reason to refuse a release note. [path] is the path of the field, such as `add.classes[0].deadlineMs`. */
public data class NoteProblem(
    val path: String,
    val message: String,
)

/**
 * Limits that a note has to keep.
 *
 * @property maxDeadlineMs longest deadline of a class, in milliseconds; the drain limit, so that a shutdown interrupts
 *   no request.
 */
public data class NoteLimits(
    val maxDeadlineMs: Long = DEFAULT_MAX_DEADLINE_MS,
) {
    public companion object {
        /** The default drain limit in milliseconds. */
        public const val DEFAULT_MAX_DEADLINE_MS: Long = 30_000
    }
}

/** Returns the problems of guarantees that do not fit into the live fleet; the list is empty when all fit. */
public typealias CapacityCheck = (Configuration) -> List<NoteProblem>

/** A [CapacityCheck] that accepts every configuration. */
public val UNLIMITED_CAPACITY: CapacityCheck = { emptyList() }
