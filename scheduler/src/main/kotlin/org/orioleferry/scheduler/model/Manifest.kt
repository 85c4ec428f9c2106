package org.orioleferry.scheduler.model

/**
 * A queue of jobs.
 *
 * @property service pool of workers that runs the tasks.
 * @property priority 0 is the most urgent and may preempt others.
 * @property stretch multiple of the longest chain of work within which a job should be done.
 * @property objectiveMs time added to that, in ms.
 * @property advice set when a step needs tickets from the advice service.
 */
public data class Queue(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val service: String,
    val priority: Int,
    val maxAttempts: Int,
    val stretch: Double,
    val objectiveMs: Long,
    val timeoutMs: Long,
    val isPublic: Boolean,
    val advice: AdviceTerms? = null,
)

/** Times of the advice service for a queue: an answer takes [decisionMs] and [perWorkerMs] for each worker, in ms. */
public data class AdviceTerms(
    val decisionMs: Long,
    val perWorkerMs: Long,
)

/** A workspace with its keys and the accelerators that are its own for jobs of priority 0. */
public data class Workspace(
    val name: String,
    val keys: Set<String>,
    val guaranteedAccelerators: Int,
)

/** Operators' configuration of one [version]; versions grow. */
public data class Manifest(
    val version: Long,
    val queues: List<Queue>,
    val workspaces: List<Workspace>,
    val maxBodyBytes: Int,
) {
    private val queuesByName = queues.associateBy { it.name }
    private val queuesByHost =
        queues.groupBy { it.host }.mapValues { (_, all) ->
            all.sortedByDescending { it.pathPrefix.length }
        }
    private val workspaceByKey = workspaces.flatMap { workspace -> workspace.keys.map { it to workspace } }.toMap()
    private val workspacesByName = workspaces.associateBy { it.name }

    /** The queue with the longest prefix of [path] on [host]. */
    public fun queueFor(
        host: String,
        path: String,
    ): Queue? = queuesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    public fun queue(name: String): Queue? = queuesByName[name]

    public fun workspaceOf(key: String): Workspace? = workspaceByKey[key]

    public fun workspace(name: String): Workspace? = workspacesByName[name]
}
