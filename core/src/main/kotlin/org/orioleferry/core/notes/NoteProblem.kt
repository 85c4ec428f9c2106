package org.orioleferry.core.notes

import org.orioleferry.core.model.Configuration

/** One reason to refuse a release note. [place] is the path of the field, such as `add.classes[0].deadlineMs`. */
public data class NoteProblem(
    val place: String,
    val message: String,
)

/**
 * Limits that a note has to keep.
 *
 * @property maxDeadlineMs longest deadline of a class; the drain limit, so that a shutdown cuts no request.
 */
public data class NoteLimits(
    val maxDeadlineMs: Long = DEFAULT_MAX_DEADLINE_MS,
) {
    public companion object {
        /** The default drain limit. */
        public const val DEFAULT_MAX_DEADLINE_MS: Long = 30_000
    }
}

/** Compares the guarantees of a configuration with the live fleet; an empty list when they fit. */
public typealias CapacityCheck = (Configuration) -> List<NoteProblem>

/** A [CapacityCheck] that accepts every configuration. */
public val UNLIMITED_CAPACITY: CapacityCheck = { emptyList() }
