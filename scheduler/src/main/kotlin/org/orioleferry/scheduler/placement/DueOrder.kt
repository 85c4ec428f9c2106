package org.orioleferry.scheduler.placement

/**
 * Place of a job among others of its rank; lower goes first.
 *
 * Jobs that can still end within their objective go by their due time. Those that can only end late come behind all of
 * them, since starting them first makes others late as well, and those that earn nothing any more come last.
 *
 * @param dueMs end of the objective, Unix ms.
 * @param worthlessMs time after which the job earns nothing, Unix ms.
 * @param remainingMs estimated time that the job still takes when it starts now.
 */
internal fun dueOrder(
    nowMs: Long,
    dueMs: Long,
    worthlessMs: Long,
    remainingMs: Long,
): Long {
    val endsMs = nowMs + (remainingMs * CERTAIN_SHARE).toLong()
    return when {
        endsMs <= dueMs -> dueMs
        endsMs <= worthlessMs -> dueMs + CLASS_MS
        else -> dueMs + 2 * CLASS_MS
    }
}

// Estimates are off by a fifth to a half; a job is put back only when even a much shorter run would end late.
private const val CERTAIN_SHARE = 0.7

// Above the largest difference between due times of live jobs.
private const val CLASS_MS = 1_000_000_000L
