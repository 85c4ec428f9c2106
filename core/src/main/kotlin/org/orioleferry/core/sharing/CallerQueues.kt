package org.orioleferry.core.sharing

import org.orioleferry.core.model.WorkspaceName
import java.util.TreeSet

/** A request that waits. Created by [FairScheduler]; [item] is what the caller of the scheduler put in. */
public class Ticket<T> internal constructor(
    public val item: T,
    internal val caller: String,
    internal val shard: Int,
    internal val deadlineAtMs: Long,
    internal val workspaceQueue: WorkspaceQueue<T>,
) {
    internal var isWaiting: Boolean = true
}

/** Counts elementary steps, so that tests can bound the cost of an operation without a clock. */
internal class StepCounter {
    var steps: Long = 0
        private set

    fun count(steps: Int = 1) {
        this.steps += steps
    }
}

/** One of the sub-queues of a workspace. Callers that share it take turns. */
internal class Shard<T> {
    private val callers = LinkedHashMap<String, LinkedHashSet<Ticket<T>>>()

    var size: Int = 0
        private set

    val isEmpty: Boolean get() = size == 0

    fun add(ticket: Ticket<T>) {
        callers.getOrPut(ticket.caller) { LinkedHashSet() }.add(ticket)
        size++
    }

    fun remove(ticket: Ticket<T>) {
        val waiting = callers[ticket.caller] ?: return
        if (!waiting.remove(ticket)) return
        if (waiting.isEmpty()) callers.remove(ticket.caller)
        size--
    }

    fun poll(): Ticket<T> {
        val (caller, waiting) = callers.entries.first()
        val ticket = waiting.first()
        callers.remove(caller)
        waiting.remove(ticket)
        size--
        if (waiting.isNotEmpty()) callers[caller] = waiting
        return ticket
    }

    fun depthOf(caller: String): Int = callers[caller]?.size ?: 0

    /** Tickets that are served before a new one of [caller]. */
    fun ahead(caller: String): Int = minOf(size, (depthOf(caller) + 1) * (callers.size + 1) - 1)
}

/**
 * The requests of one workspace within a class, in [SHARDS] sub-queues. Every caller is hashed to [SHARDS_PER_CALLER] of
 * them and a request joins the shortest one, so that few callers share all their sub-queues with a large one, and the
 * state does not depend on the number of caller names.
 */
internal class WorkspaceQueue<T>(
    val workspace: WorkspaceName,
    val classQueue: ClassQueue<T>,
    private val seed: Long,
    private val counter: StepCounter,
) {
    private val shards = arrayOfNulls<Shard<T>>(SHARDS)
    private val startTags = LongArray(SHARDS)
    private val joined = LongArray(SHARDS)
    private val busy = TreeSet(compareBy<Int>({ startTags[it] }, { joined[it] }))
    private var joins = 0L
    private var virtualTime = 0L

    /** Turns in each round of the workspaces. */
    var weight: Int = 1

    /** Turns left in this round of the workspaces. */
    var credit: Int = 0

    var size: Int = 0
        private set

    /** The sub-queue of [caller] that is the shortest in virtual time, which counts what was served lately too. */
    fun shardOf(caller: String): Int {
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
            joined[index] = joins++
            busy += index
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
            busy -= ticket.shard
            shards[ticket.shard] = null
        }
    }

    /**
     * Takes the next ticket by start-time fair queueing of the sub-queues. One that has used less than its share is
     * served as soon as it has a request, while taking turns would let it wait for a whole round of the others.
     */
    fun poll(): Ticket<T> {
        counter.count()
        val index = busy.first()
        busy -= index
        virtualTime = startTags[index]
        startTags[index]++
        joined[index] = joins++
        val shard = checkNotNull(shards[index])
        val ticket = shard.poll()
        size--
        if (shard.isEmpty) shards[index] = null else busy += index
        return ticket
    }

    /** Estimate of the tickets of this workspace that are served before a new one of [caller] in [shard]. */
    fun ahead(
        caller: String,
        shard: Int,
    ): Int {
        val own = shards[shard] ?: return minOf(size, SHARDS_PER_CALLER)
        return minOf(size, (own.ahead(caller) + 1) * busy.size - 1)
    }

    internal companion object {
        const val SHARDS: Int = 64
        const val SHARDS_PER_CALLER: Int = 4
        private const val GOLDEN = -0x61c8864680b583ebL
        private const val MIX_FIRST = -0x40a7b892e31b1a47L
        private const val MIX_SECOND = -0x6b2fb644ecceee15L

        /** The distinct sub-queues of [caller]: a partial shuffle driven by a 64-bit mix of the name's hash. */
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
            var mixed = value + GOLDEN
            mixed = (mixed xor (mixed ushr 30)) * MIX_FIRST
            mixed = (mixed xor (mixed ushr 27)) * MIX_SECOND
            return mixed xor (mixed ushr 31)
        }
    }
}
