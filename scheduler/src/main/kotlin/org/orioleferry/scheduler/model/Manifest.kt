package org.orioleferry.scheduler.model

import kotlinx.serialization.Serializable

/**
 * The terms on which the jobs of a queue are run, see [Queue]. Stored with each job, since the queue may be removed while
 * the job runs.
 */
@Serializable
public data class QueuePolicy(
    val priority: Int,
    val maxAttempts: Int,
    val stretch: Double = 1.0,
    val objectiveOffsetMs: Long = 0,
    val advice: AdviceLatency? = null,
) {
    public companion object {
        /** For jobs of a removed queue that were stored without a policy; they run after all other work. */
        public val DEFAULT: QueuePolicy = QueuePolicy(priority = 9, maxAttempts = 3)
    }
}

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
) {
    public val policy: QueuePolicy get() = QueuePolicy(priority, maxAttempts, stretch, objectiveOffsetMs, advice)
}

/** Response time of the advice service for a queue: [decisionMs] plus [perWorkerMs] for each worker, in ms. */
@Serializable
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

    /** Returns the policy of [job]'s queue, or the one with which the job was accepted once the queue is removed. */
    public fun policyOf(job: JobSpec): QueuePolicy = queue(job.queue)?.policy ?: job.policy ?: QueuePolicy.DEFAULT

    public fun workspaceOf(key: String): Workspace? = workspaceByKey[key]

    public fun workspace(name: String): Workspace? = workspacesByName[name]
}
