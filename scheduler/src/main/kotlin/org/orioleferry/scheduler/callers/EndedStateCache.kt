package org.orioleferry.scheduler.callers

import org.orioleferry.scheduler.model.JobState

/**
 * Caches the [LIMIT] latest final states by job id, each with the workspace of the job. Final states never change, so
 * cached ones stay valid.
 */
internal class EndedStateCache {
    private val states =
        object : LinkedHashMap<String, Pair<String, JobState>>() {
            override fun removeEldestEntry(eldest: Map.Entry<String, Pair<String, JobState>>): Boolean = size > LIMIT
        }

    operator fun get(id: String): Pair<String, JobState>? = states[id]

    operator fun set(
        id: String,
        value: Pair<String, JobState>,
    ) {
        states[id] = value
    }

    private companion object {
        // An entry takes about 100 bytes.
        const val LIMIT = 10_000
    }
}
