package org.orioleferry.scheduler.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.math.exp
import kotlin.random.Random

class WorkerSpeedEstimatorTest {
    private val random = Random(5)

    /** Records [runs] runs whose estimates are off by [spread], the standard deviation of the logarithm. */
    private fun WorkerSpeedEstimator.observeRuns(
        queue: String,
        spread: Double,
        runs: Int,
    ) = repeat(runs) {
        val index = it % SPEEDS.size
        val workMs = 5_000 * exp(random.nextDouble(-0.3, 0.3))
        val estimateMs = workMs * 0.6 * exp(spread * random.nextDouble(-1.7, 1.7))
        recordCompletion("w$index", queue, estimateMs.toLong(), (workMs / SPEEDS[index]).toLong())
    }

    // Guards against urgent work on slow workers when worker speeds differ by a quarter and estimates are biased.
    @Test
    fun `should rank workers by speed although the estimates of one queue are far off`() {
        val estimator = WorkerSpeedEstimator()
        estimator.observeRuns("good", spread = 0.2, runs = 300)
        estimator.observeRuns("bad", spread = 0.9, runs = 300)
        expectThat(estimator.speedOf("w0")).isLessThan(estimator.speedOf("w1"))
        expectThat(estimator.speedOf("w1")).isLessThan(estimator.speedOf("w2"))
        expectThat(estimator.speedOf("w2") / estimator.speedOf("w0")).isGreaterThan(1.25)
    }

    // Guards against healthy workers counted as troubled because the estimates of a queue are unusable, which moved 46
    // runs on a day without slow workers.
    @Test
    fun `should not judge a worker by the progress of a queue whose estimates are far off`() {
        val estimator = WorkerSpeedEstimator()
        estimator.observeRuns("bad", spread = 0.9, runs = 100)
        estimator.recordProgress("w1", "bad", 5_000, done = 0.02, elapsedMs = 2_000, nowMs = 0)
        expectThat(estimator.isTroubled("w1", 0)).isEqualTo(false)
    }

    @Test
    fun `should treat a worker whose tasks make no progress as troubled for a limited time`() {
        val estimator = WorkerSpeedEstimator()
        estimator.observeRuns("good", spread = 0.2, runs = 100)
        estimator.recordProgress("w1", "good", 3_000, done = 0.02, elapsedMs = 2_000, nowMs = 0)
        expectThat(estimator.isTroubled("w1", 1_000)).isEqualTo(true)
        expectThat(estimator.isTroubled("w1", 10_000)).isEqualTo(false)
        expectThat(estimator.isTroubled("w2", 1_000)).isEqualTo(false)
    }

    private companion object {
        val SPEEDS = listOf(0.8, 1.0, 1.25)
    }
}
