package org.orioleferry.scheduler.model

/**
 * A queue of jobs.
 *
 * @property service pool of workers that runs the tasks.
 * @property priority 0 is the most urgent and may preempt others.
 * @property stretch factor of the completion objective: a job should be done within [stretch] x the estimate of its
 *   longest chain of steps + [objectiveOffsetMs].
 * @property objectiveOffsetMs constant part of the completion objective, in ms.
 * @property advice response time of the advice service when steps need its tickets, otherwise null.
 */
public data class Queue(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val service: String,
    val priority: Int,
    val maxAttempts: Int,
    val stretch: Double,
    val objectiveOffsetMs: Long,
    val timeoutMs: Long,
    val isPublic: Boolean,
    val advice: AdviceLatency? = null,
)

/** Response time of the advice service for a queue: [decisionMs] plus [perWorkerMs] for each worker, in ms. */
public data class AdviceLatency(
    val decisionMs: Long,
    val perWorkerMs: Long,
)

/** A workspace with its API keys and the accelerators guaranteed to its jobs of priority 0. */
public data class Workspace(
    val name: String,
    val keys: Set<String>,
    val guaranteedAccelerators: Int,
)

/** Operators' configuration; [version] increases with each change. */
public data class Manifest(
    val version: Long,
    val queues: List<Queue>,
    val workspaces: List<Workspace>,
    val maxBodyBytes: Int,
) {
    private val queuesByName = queues.associateBy { it.name }
    private val queuesByHost =
        queues.groupBy { it.host }.mapValues { (_, queuesOnHost) ->
            queuesOnHost.sortedByDescending { it.pathPrefix.length }
        }
    private val workspaceByKey = workspaces.flatMap { workspace -> workspace.keys.map { it to workspace } }.toMap()
    private val workspacesByName = workspaces.associateBy { it.name }

    /** Returns the queue on [host] with the longest path prefix that matches [path]. */
    public fun queueFor(
        host: String,
        path: String,
    ): Queue? = queuesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    public fun queue(name: String): Queue? = queuesByName[name]

    public fun workspaceOf(key: String): Workspace? = workspaceByKey[key]

    public fun workspace(name: String): Workspace? = workspacesByName[name]
}
