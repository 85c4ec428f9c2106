package org.orioleferry.core.sharing

import org.orioleferry.core.model.WorkspaceName
import java.util.TreeSet

/** A queued request, created by [FairScheduler]. [item] is the payload passed to [FairScheduler.offer]. */
public class Ticket<T> internal constructor(
    public val item: T,
    internal val caller: String,
    internal val shard: Int,
    internal val deadlineAtMs: Long,
    internal val workspaceQueue: WorkspaceQueue<T>,
) {
    internal var isWaiting: Boolean = true
}

/** Counts elementary steps, so that tests can bound the cost of an operation without measuring time. */
internal class OperationCounter {
    var steps: Long = 0
        private set

    fun count(steps: Int = 1) {
        this.steps += steps
    }
}

/** One of the sub-queues of a workspace. Callers that share it are served round-robin. */
internal class Shard<T> {
    private val waitingByCaller = LinkedHashMap<String, LinkedHashSet<Ticket<T>>>()

    var size: Int = 0
        private set

    val isEmpty: Boolean get() = size == 0

    fun add(ticket: Ticket<T>) {
        waitingByCaller.getOrPut(ticket.caller) { LinkedHashSet() }.add(ticket)
        size++
    }

    fun remove(ticket: Ticket<T>) {
        val waiting = waitingByCaller[ticket.caller] ?: return
        if (!waiting.remove(ticket)) return
        if (waiting.isEmpty()) waitingByCaller.remove(ticket.caller)
        size--
    }

    fun poll(): Ticket<T> {
        val (caller, waiting) = waitingByCaller.entries.first()
        val ticket = waiting.first()
        waitingByCaller.remove(caller)
        waiting.remove(ticket)
        size--
        if (waiting.isNotEmpty()) waitingByCaller[caller] = waiting
        return ticket
    }

    fun depthOf(caller: String): Int = waitingByCaller[caller]?.size ?: 0

    /** Upper estimate of the tickets that are served before a new one of [caller]. */
    fun estimateAhead(caller: String): Int = minOf(size, (depthOf(caller) + 1) * (waitingByCaller.size + 1) - 1)
}

/**
 * The requests of one workspace within a class, in [SHARDS] sub-queues (shuffle sharding). Every caller is hashed to
 * [SHARDS_PER_CALLER] of them and a request joins the shortest one. Few callers therefore share all their sub-queues
 * with a large caller, and the state does not depend on the number of caller names.
 */
internal class WorkspaceQueue<T>(
    val workspace: WorkspaceName,
    val classQueue: ClassQueue<T>,
    private val seed: Long,
    private val counter: OperationCounter,
) {
    private val shards = arrayOfNulls<Shard<T>>(SHARDS)
    private val startTags = LongArray(SHARDS)
    private val joinNumbers = LongArray(SHARDS)
    private val activeShards = TreeSet(compareBy<Int>({ startTags[it] }, { joinNumbers[it] }))
    private var joinCount = 0L
    private var virtualTime = 0L

    /** Requests that the workspace may start in each round of the workspaces. */
    var weight: Int = 1

    /** Requests that the workspace may still start in the current round. */
    var credit: Int = 0

    var size: Int = 0
        private set

    /** Chooses the sub-queue of [caller] that is shortest in virtual time, which includes recently served requests. */
    fun chooseShard(caller: String): Int {
        counter.count(SHARDS_PER_CALLER)
        return shardsOf(caller, seed).minBy { maxOf(startTags[it], virtualTime) + sizeOf(it) }
    }

    fun sizeOf(shard: Int): Int = shards[shard]?.size ?: 0

    /** Tickets of [caller] that wait in [shard]. */
    fun depthOf(
        caller: String,
        shard: Int,
    ): Int = shards[shard]?.depthOf(caller) ?: 0

    fun add(ticket: Ticket<T>) {
        counter.count()
        val index = ticket.shard
        val shard = shards[index] ?: Shard<T>().also { shards[index] = it }
        if (shard.isEmpty) {
            startTags[index] = maxOf(startTags[index], virtualTime)
            joinNumbers[index] = joinCount++
            activeShards += index
        }
        shard.add(ticket)
        size++
    }

    fun remove(ticket: Ticket<T>) {
        counter.count()
        val shard = shards[ticket.shard] ?: return
        val before = shard.size
        shard.remove(ticket)
        size -= before - shard.size
        if (shard.isEmpty) {
            activeShards -= ticket.shard
            shards[ticket.shard] = null
        }
    }

    /**
     * Takes the next ticket by start-time fair queueing of the sub-queues. A sub-queue that has used less than its
     * share is served as soon as it has a request; with round-robin it would wait for a whole round of the others.
     */
    fun poll(): Ticket<T> {
        counter.count()
        val index = activeShards.first()
        activeShards -= index
        virtualTime = startTags[index]
        startTags[index]++
        joinNumbers[index] = joinCount++
        val shard = checkNotNull(shards[index])
        val ticket = shard.poll()
        size--
        if (shard.isEmpty) shards[index] = null else activeShards += index
        return ticket
    }

    /** Estimate of the tickets of this workspace that are served before a new one of [caller] in [shard]. */
    fun estimateAhead(
        caller: String,
        shard: Int,
    ): Int {
        val own = shards[shard] ?: return minOf(size, SHARDS_PER_CALLER)
        return minOf(size, (own.estimateAhead(caller) + 1) * activeShards.size - 1)
    }

    internal companion object {
        const val SHARDS: Int = 64
        const val SHARDS_PER_CALLER: Int = 4
        private const val GOLDEN_GAMMA = -0x61c8864680b583ebL
        private const val MIX_MULTIPLIER_1 = -0x40a7b892e31b1a47L
        private const val MIX_MULTIPLIER_2 = -0x6b2fb644ecceee15L

        /** The distinct sub-queues of [caller], chosen by a 64-bit sequence (SplitMix64) from the name and [seed]. */
        fun shardsOf(
            caller: String,
            seed: Long,
        ): List<Int> {
            var state = seed
            caller.forEach { state = mix(state + it.code) }
            val chosen = ArrayList<Int>(SHARDS_PER_CALLER)
            while (chosen.size < SHARDS_PER_CALLER) {
                state = mix(state)
                var index = (state ushr 1).mod(SHARDS)
                while (index in chosen) index = (index + 1) % SHARDS
                chosen += index
            }
            return chosen
        }

        private fun mix(value: Long): Long {
            var mixed = value + GOLDEN_GAMMA
            mixed = (mixed xor (mixed ushr 30)) * MIX_MULTIPLIER_1
            mixed = (mixed xor (mixed ushr 27)) * MIX_MULTIPLIER_2
            return mixed xor (mixed ushr 31)
        }
    }
}
