package org.orioleferry.core.event

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.map
import kotlin.random.Random

class EventTimelineTest {
    private fun event(
        source: String,
        logicalTime: Long,
        wallMs: Long,
        vararg attributes: Pair<String, String>,
    ) = Event(6001, "JOB_ACCEPTED", EventLevel.INFO, source, logicalTime, wallMs, mapOf(*attributes))

    // Guards against an effect listed before its cause when the wall clocks of two processes disagree.
    @Test
    fun `a cause should come before its effect although its wall clock is ahead`() {
        val cause = event("entry-1", 4, 9_000)
        val effect = event("entry-2", 5, 1_000)
        expectThat(mergeTimelines(listOf(listOf(effect), listOf(cause)))).containsExactly(cause, effect)
    }

    // Guards against an order that depends on which process answered first, and against events listed twice.
    @Test
    fun `the merge should not depend on the order of the answers`() {
        val random = Random(7)
        val events = List(200) { event("entry-${random.nextInt(3)}", random.nextLong(20), random.nextLong(20)) }
        val parts = events.chunked(30)
        val merged = mergeTimelines(parts)
        repeat(5) { expectThat(mergeTimelines(parts.shuffled(random) + listOf(parts[0]))).isEqualTo(merged) }
    }

    // Guards against a filter that also selects events of other jobs or workspaces.
    @Test
    fun `a filter should select only events that agree with every criterion`() {
        val events =
            listOf(
                event("e", 1, 100, "job" to "a.1", "workspace" to "sheds"),
                event("e", 2, 200, "job" to "a.1", "workspace" to "audit"),
                event("e", 3, 300, "job" to "a.2", "workspace" to "sheds"),
                event("e", 4, 400),
            )

        fun times(filter: EventFilter) = expectThat(events.filter(filter::matches)).map { it.logicalTime }
        times(EventFilter(job = "a.1")).containsExactly(1, 2)
        times(EventFilter(job = "a.1", workspace = "sheds")).containsExactly(1)
        times(EventFilter(afterLogicalTime = 2)).containsExactly(3, 4)
        times(EventFilter()).containsExactly(1, 2, 3, 4)
    }
}
