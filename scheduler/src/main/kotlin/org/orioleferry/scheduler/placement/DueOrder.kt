package org.orioleferry.scheduler.placement

/**
 * Returns the sort key of a job among jobs of the same rank; lower keys start first.
 *
 * Jobs that can still end within their objective are ordered by due time. Jobs that can only end late follow them,
 * since starting late jobs first makes other jobs late as well. Jobs that end so late that their completion has no
 * value any more come last.
 *
 * @param dueMs time by which the job should be done according to its completion objective, Unix ms.
 * @param valueExpiryMs time after which the completion of the job has no value, Unix ms.
 * @param remainingMs estimated remaining time of the job if it starts now, ms.
 */
internal fun dueTimeSortKey(
    nowMs: Long,
    dueMs: Long,
    valueExpiryMs: Long,
    remainingMs: Long,
): Long {
    val endsMs = nowMs + (remainingMs * OPTIMISTIC_RUN_SHARE).toLong()
    return when {
        endsMs <= dueMs -> dueMs
        endsMs <= valueExpiryMs -> dueMs + CLASS_OFFSET_MS
        else -> dueMs + 2 * CLASS_OFFSET_MS
    }
}

// Estimates are off by a fifth to a half, so a job counts as late only if even this share of its estimate ends late.
private const val OPTIMISTIC_RUN_SHARE = 0.7

// Exceeds the largest difference between due times of live jobs, so that the three classes do not overlap.
private const val CLASS_OFFSET_MS = 1_000_000_000L
