package org.orioleferry.daemon.event

import org.junit.jupiter.api.Test
import org.orioleferry.core.ManualClock
import org.orioleferry.core.event.EventType
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class EventLogTest {
    private val clock = ManualClock(wall = 1_000)

    // Guards against memory use that grows with the number of events.
    @Test
    fun `should keep only the newest events`() {
        val log = EventLog("entry-1", clock, capacity = 2)
        repeat(5) { log.record(EventType.REQUEST_DONE, mapOf("request" to "$it")) }
        expectThat(log.select(0, emptyMap()).map { it.attributes["request"] }).containsExactly("3", "4")
    }

    // Guards against an effect that is listed before its cause when wall clocks differ.
    @Test
    fun `should order an event after the message that caused it`() {
        val log = EventLog("entry-1", clock)
        log.advanceLogicalTime(41)
        clock.stepWall(-500)
        log.record(EventType.JOB_STARTING, mapOf("job" to "a.1"))
        expectThat(log.select(0, emptyMap()).single().logicalTime).isGreaterThan(41)
    }

    // Guards against a timeline of one job that contains events of other jobs.
    @Test
    fun `should select by attribute and time`() {
        val log = EventLog("entry-1", clock)
        log.record(EventType.JOB_STARTING, mapOf("job" to "a.1"))
        log.record(EventType.JOB_STARTING, mapOf("job" to "a.2"))
        log.record(EventType.JOB_RUNNING, mapOf("job" to "a.1"))
        expectThat(log.select(1, mapOf("job" to "a.1")).map { it.number }).isEqualTo(listOf(6003))
    }
}
