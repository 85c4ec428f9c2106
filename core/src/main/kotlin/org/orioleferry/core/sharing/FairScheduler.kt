package org.orioleferry.core.sharing

import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.Workspace
import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/** Result of offering a request to the scheduler. */
public sealed interface Offer<out T> {
    /** The request waits for its turn. */
    public data class Queued<T>(
        val ticket: Ticket<T>,
    ) : Offer<T>

    /** The request was not queued. [retryAfterMs] is the estimated time until a repeat of it can be queued. */
    public data class Shed(
        val reason: ShedReason,
        val retryAfterMs: Long,
    ) : Offer<Nothing>
}

/** Why a request was not queued. */
public enum class ShedReason {
    /** The queue of its class, workspace or caller is full. */
    FULL,

    /** At the observed rate it cannot end before its deadline. */
    TOO_LATE,
}

/** The slots of all upstreams as this instance may use them. */
public data class SlotCapacity(
    val total: Int,
    val free: Int,
)

/**
 * Decides which request runs next. Deterministic, without I/O and not safe for concurrent use.
 *
 * Capacity is divided among classes by start-time fair queueing in slot time, so that long requests of a class count
 * for more; shares are those of [ClassShares.contendedShares], and the more urgent class goes first on a tie. Within a
 * class, workspaces are served by weighted round-robin; within a workspace, callers are isolated by shuffle sharding.
 *
 * @param maxQueuedPerClass most requests of one class that may wait.
 * @param seed seed for the choice of the sub-queues of callers; it may differ between instances.
 */
public class FairScheduler<T>(
    private val maxQueuedPerClass: Int,
    private val seed: Long,
) {
    private val counter = OperationCounter()
    private val classes = LinkedHashMap<JobClassName, ClassQueue<T>>()
    private var shares: Map<JobClassName, Double> = emptyMap()
    private var classesOfShares: List<JobClass> = emptyList()
    private var caps: Map<JobClassName, Int> = emptyMap()
    private var virtualTime = 0.0

    /** Elementary steps counted so far. */
    public val steps: Long get() = counter.steps

    /** Number of waiting requests. */
    public val size: Int get() = classes.values.sumOf { it.size }

    /** Numbers of waiting and of running requests of each class. */
    public fun loads(): Map<JobClassName, ClassLoad> = classes.mapValues { ClassLoad(it.value.size, it.value.running) }

    /** Limits the slots of the classes in [caps]; others have no limit. */
    public fun setClassLimits(caps: Map<JobClassName, Int>) {
        this.caps = caps
    }

    /** Queues a request, or rejects it when its queue is full or its deadline cannot be met. */
    public fun offer(
        jobClass: JobClass,
        workspace: Workspace,
        caller: String,
        deadlineAtMs: Long,
        item: T,
        nowMs: Long,
    ): Offer<T> {
        counter.count()
        val queue = classes.getOrPut(jobClass.name) { ClassQueue(jobClass, seed, counter) }
        queue.jobClass = jobClass
        val workspaceQueue = queue.queueOf(workspace)
        val shard = workspaceQueue.chooseShard(caller)
        val waitMs = queue.estimatedWaitMs(workspaceQueue, caller, shard, nowMs)
        if (isFull(queue, workspaceQueue, caller, shard)) {
            return Offer.Shed(
                ShedReason.FULL,
                clampRetryAfter(
                    waitMs ?: MIN_RETRY_MS,
                ),
            )
        }
        val availableMs = deadlineAtMs - nowMs
        if (waitMs != null && waitMs > 0 && waitMs + queue.costMs > availableMs) {
            return Offer.Shed(ShedReason.TOO_LATE, clampRetryAfter(waitMs + queue.costMs.toLong() - availableMs))
        }
        val ticket = Ticket(item, caller, shard, deadlineAtMs, workspaceQueue)
        if (queue.size == 0) queue.startTag = max(queue.startTag, virtualTime)
        queue.add(ticket, nowMs)
        return Offer.Queued(ticket)
    }

    /** Removes from its queue a request whose caller no longer waits for it. */
    public fun cancel(ticket: Ticket<T>) {
        if (!ticket.isWaiting) return
        ticket.isWaiting = false
        ticket.workspaceQueue.classQueue.remove(ticket)
    }

    /** The request that runs next on one of the free slots of [capacity], or null when none may run now. */
    public fun next(
        capacity: SlotCapacity,
        nowMs: Long,
    ): Ticket<T>? {
        while (capacity.free > 0) {
            val queue = selectNextClass(capacity, nowMs) ?: return null
            val ticket = queue.poll(nowMs)
            ticket.isWaiting = false
            if (ticket.deadlineAtMs <= nowMs) continue
            virtualTime = queue.startTag
            queue.startTag += queue.costMs / shareOf(queue)
            queue.begin(nowMs)
            return ticket
        }
        return null
    }

    /** Records that a request of class [name] has released its slot after [tookMs]. */
    public fun recordFinished(
        name: JobClassName,
        tookMs: Long,
    ) {
        val queue = classes[name] ?: return
        queue.end(tookMs)
        if (queue.size == 0 && queue.running == 0 && classes.size > MAX_IDLE_CLASSES) classes.remove(name)
    }

    /**
     * Selects the class with the earliest virtual start. A class above its share leaves free the slots that other
     * classes below their share have recently used, so that these need not wait for a slot during a flood.
     */
    private fun selectNextClass(
        capacity: SlotCapacity,
        nowMs: Long,
    ): ClassQueue<T>? {
        counter.count(classes.size)
        var reserved = 0
        classes.values.forEach { reserved += reservedSlots(it, capacity.total, nowMs) }
        return classes.values
            .filter { it.size > 0 && it.running < (caps[it.jobClass.name] ?: Int.MAX_VALUE) }
            .filter {
                capacity.free > reserved - reservedSlots(it, capacity.total, nowMs) ||
                    it.running < shareSlots(it, capacity.total)
            }.minWithOrNull(compareBy({ it.startTag }, { it.jobClass.urgency }))
    }

    private fun shareSlots(
        queue: ClassQueue<T>,
        total: Int,
    ): Int = ceil(shareOf(queue) * total).toInt()

    private fun reservedSlots(
        queue: ClassQueue<T>,
        total: Int,
        nowMs: Long,
    ): Int = max(0, min(shareSlots(queue, total), queue.recentPeak(nowMs)) - queue.running)

    /**
     * Whether the queue is full for [caller]. Each workspace, sub-queue and caller may use a part of the room that is
     * left to it. Large ones therefore stop growing before the queue is full, and there is nearly always room for the
     * first request of another caller.
     */
    private fun isFull(
        queue: ClassQueue<T>,
        workspaceQueue: WorkspaceQueue<T>,
        caller: String,
        shard: Int,
    ): Boolean {
        val room = maxQueuedPerClass - queue.size
        val workspaceRoom = min(room, room * WORKSPACE_ROOM_FACTOR - workspaceQueue.size)
        val shardRoom = max(1, workspaceRoom / SHARD_DIVISOR) - workspaceQueue.sizeOf(shard)
        val depth = workspaceQueue.depthOf(caller, shard)
        return workspaceRoom <= 0 || (depth > 0 && depth * CALLER_DIVISOR >= shardRoom)
    }

    private fun shareOf(queue: ClassQueue<T>): Double {
        val known = classes.values.map { it.jobClass }
        if (known != classesOfShares) {
            classesOfShares = known
            shares = ClassShares.contendedShares(known)
        }
        return max(MIN_SHARE, shares.getValue(queue.jobClass.name))
    }

    private fun clampRetryAfter(retryAfterMs: Long): Long = retryAfterMs.coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)

    private companion object {
        const val WORKSPACE_ROOM_FACTOR = 4
        const val SHARD_DIVISOR = 16
        const val CALLER_DIVISOR = 2
        const val MIN_SHARE = 0.001
        const val MIN_RETRY_MS = 100L
        const val MAX_RETRY_MS = 30_000L

        /** Number of classes above which an idle class is removed, so that withdrawn classes do not accumulate. */
        const val MAX_IDLE_CLASSES = 32
    }
}
