package org.orioleferry.standins

import org.orioleferry.core.Clock
import org.orioleferry.platform.InstanceList
import org.orioleferry.platform.ListedInstance
import org.orioleferry.platform.ReadResult

/** An instance list that shows each change [lagMs] milliseconds after it was made. Safe for concurrent use. */
public class LaggingInstanceList(
    private val clock: Clock,
    @Volatile public var lagMs: Long = 0,
) : InstanceList {
    private class Change(
        val id: String,
        val instance: ListedInstance?,
        val madeMs: Long,
    )

    private val pending = ArrayDeque<Change>()
    private val visible = sortedMapOf<String, ListedInstance>()

    /** Adds [instance] or replaces the entry with the same identifier. */
    public fun put(instance: ListedInstance): Unit = add(instance.id, instance)

    /** Removes the entry of [id]. */
    public fun remove(id: String): Unit = add(id, null)

    /** Returns the list as callers see it now, without the changes that are still lagging. */
    public fun snapshot(): List<ListedInstance> =
        synchronized(pending) {
            val limitMs = clock.monotonicMs() - lagMs
            while (pending.isNotEmpty() && pending.first().madeMs <= limitMs) {
                val change = pending.removeFirst()
                if (change.instance == null) visible.remove(change.id) else visible[change.id] = change.instance
            }
            visible.values.toList()
        }

    override suspend fun list(): ReadResult<List<ListedInstance>> = ReadResult.Found(snapshot())

    private fun add(
        id: String,
        instance: ListedInstance?,
    ) {
        synchronized(pending) { pending += Change(id, instance, clock.monotonicMs()) }
    }
}
