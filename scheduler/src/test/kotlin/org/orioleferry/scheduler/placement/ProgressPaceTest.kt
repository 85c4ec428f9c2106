package org.orioleferry.scheduler.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.math.floor

class ProgressPaceTest {
    /** Lists a run that takes [durationMs] each [periodMs] until [untilMs]. */
    private fun paceOf(
        durationMs: Long,
        periodMs: Long,
        untilMs: Long,
    ) = ProgressPace().apply {
        for (atMs in periodMs..untilMs step periodMs) add(periodMs, floor(100.0 * atMs / durationMs))
    }

    // Guards against healthy runs that count as slow because progress is rounded down to whole percent.
    @Test
    fun `should never state a longer shortest duration than that of the run`() {
        for (durationMs in 700L..60_000L step 300) {
            for (periodMs in listOf(20L, 90L, 300L, 700L, 2_000L)) {
                val pace = paceOf(durationMs, periodMs, minOf(2_000, durationMs))
                expectThat(pace.shortestDurationMs()).isLessThanOrEqualTo(durationMs)
                expectThat(pace.shortestEarlierMs()).isLessThanOrEqualTo(durationMs)
            }
        }
    }

    // Guards against a slow worker that is found only after seconds: a run of 2 s that takes 12 s.
    @Test
    fun `should show the pace of a slow run after two listings`() {
        val pace = paceOf(12_000, 400, 800)
        expectThat(pace.shortestDurationMs()).isIn(10_000L..12_000L)
        expectThat(pace.shortestEarlierMs()).isGreaterThan(8_000)
        expectThat(pace.shortestLastMs()).isGreaterThan(8_000)
    }

    // Guards against intervals of a few ms, as listings come with each end on a busy worker, that say nothing.
    @Test
    fun `should join intervals that are too short to judge`() {
        val pace = paceOf(12_000, 20, 1_000)
        expectThat(pace.lastMs).isIn(250L..270L)
        expectThat(pace.shortestDurationMs()).isIn(10_000L..12_000L)
    }

    // Guards against a worker that stood still for 1 s and then counts as slow.
    @Test
    fun `should show a standstill in one interval only`() {
        val pace = ProgressPace()
        pace.add(1_300, 15.0)
        expectThat(pace.shortestEarlierMs()).isEqualTo(0)
        pace.add(300, 30.0)
        expectThat(pace.shortestEarlierMs()).isGreaterThan(8_000)
        expectThat(pace.shortestLastMs()).isLessThan(2_000)
    }

    @Test
    fun `should measure anew after a gap`() {
        val pace = paceOf(12_000, 400, 800)
        pace.add(null, 50.0)
        expectThat(pace.totalMs).isEqualTo(0)
        pace.add(400, 70.0)
        expectThat(pace.likelyDurationMs()).isIn(1_900L..2_000L)
    }
}
