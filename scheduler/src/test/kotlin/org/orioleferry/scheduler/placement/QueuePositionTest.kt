package org.orioleferry.scheduler.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class QueuePositionTest {
    private data class Waiting(
        val name: String,
        val dueMs: Long,
        val remainingMs: Long,
        val waitingShare: Double = 1.0,
    )

    private fun sortedNames(vararg jobs: Waiting): List<String> =
        jobs
            .sortedBy { queuePositionOf(NOW_MS, it.dueMs, it.dueMs + 10_000, it.remainingMs, it.waitingShare) }
            .map { it.name }

    // Guards against ordering by due time alone. When a burst of 6 s leaves more work than can end in time, each job
    // then starts when it is just too late, and the jobs behind it become late as well.
    @Test
    fun `should start jobs that can end in time before jobs that cannot`() {
        val late = Waiting("late", NOW_MS + 1_000, 6_000)
        val fresh = Waiting("fresh", NOW_MS + 20_000, 6_000)
        val worthless = Waiting("worthless", NOW_MS - 15_000, 6_000)
        expectThat(sortedNames(worthless, late, fresh)).isEqualTo(listOf("fresh", "late", "worthless"))
    }

    @Test
    fun `should order jobs that can end in time by due time`() {
        expectThat(
            sortedNames(Waiting("later", NOW_MS + 20_000, 6_000), Waiting("sooner", NOW_MS + 10_000, 6_000)),
        ).isEqualTo(listOf("sooner", "later"))
    }

    // Guards against deferring a job because its estimate is too long by a third.
    @Test
    fun `should not defer a job that may end in time`() {
        expectThat(
            sortedNames(Waiting("close", NOW_MS + 5_000, 6_000), Waiting("later", NOW_MS + 20_000, 6_000)),
        ).isEqualTo(listOf("close", "later"))
    }

    // Guards against beginning new jobs while those that are almost done wait: under lasting load each job then has some
    // of its tasks done and none is completed.
    @Test
    fun `should finish a job that is mostly done before it begins others`() {
        val begun = Waiting("begun", NOW_MS + 30_000, 6_000, waitingShare = 0.5)
        val new = Waiting("new", NOW_MS + 20_000, 6_000)
        val lateBegun = Waiting("late and mostly done", NOW_MS - 1_000, 6_000, waitingShare = 0.2)
        val late = Waiting("late and half done", NOW_MS - 1_000, 6_000, waitingShare = 0.5)
        expectThat(
            sortedNames(late, new, lateBegun, begun),
        ).isEqualTo(listOf("begun", "late and mostly done", "new", "late and half done"))
    }

    private companion object {
        const val NOW_MS = 1_700_000_000_000L
    }
}
