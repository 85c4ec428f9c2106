package org.orioleferry.scheduler.model

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class JobSpecTest {
    private fun job(vararg steps: StepSpec) = JobSpec("a", "routine", "pool", "team", "", steps.toList())

    private fun step(
        estimateMs: Long,
        vararg after: Int,
    ) = StepSpec(1, Resources(1), estimateMs, after.toList())

    @Test
    fun `should add the estimates along the longest chain from a step`() {
        val job = job(step(10), step(20, 0), step(1, 0), step(5, 1, 2))
        expectThat(job.longestChainMs).isEqualTo(35)
        expectThat(List(4) { job.chainFromMs(it) }).isEqualTo(listOf(35L, 25L, 6L, 5L))
    }

    // Guards against following every path of the graph: with 26 steps, each after all earlier ones, that took 15 s on the
    // owner's only thread. Here there are 2^62 paths.
    @Test
    @Timeout(10, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    fun `should visit each dependency of a deep graph once`() {
        val steps = Array(64) { index -> step(1, *IntArray(index) { it }) }
        expectThat(job(*steps).chainFromMs(0)).isEqualTo(64)
    }
}
