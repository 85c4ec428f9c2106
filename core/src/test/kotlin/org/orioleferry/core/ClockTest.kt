package org.orioleferry.core

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo

class ClockTest {
    // Guards against a monotonic reading that decreases, which would extend leases and timeouts.
    @Test
    fun `monotonic time should never go back`() {
        val readings = List(1_000) { SystemClock.monotonicMs() }
        readings.zipWithNext().forEach { (earlier, later) -> expectThat(later).isGreaterThanOrEqualTo(earlier) }
    }
}
