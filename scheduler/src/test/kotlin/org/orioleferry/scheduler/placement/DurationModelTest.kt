package org.orioleferry.scheduler.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class DurationModelTest {
    private fun DurationModel.recordAll(
        ratios: List<Double>,
        queue: String = "urgent",
        taskCount: Int = 5,
    ) = ratios.forEach { record(queue, taskCount, 2_000, (2_000 * it).toLong()) }

    /** Returns the ratios of [count] runs that scatter by a tenth around [bias]. */
    private fun scattered(
        bias: Double,
        count: Int = 400,
    ): List<Double> = Random(7).let { random -> List(count) { bias * random.nextDouble(0.9, 1.1) } }

    // Guards against decisions by the estimates of a queue that are off by a factor of two in either direction.
    @Test
    fun `should learn the bias of the estimates of a queue`() {
        listOf(0.5, 2.0).forEach { bias ->
            val model = DurationModel().apply { recordAll(scattered(bias)) }
            val ratios = model.ratiosOf("urgent", 5)
            expectThat(ratios.median / bias).isIn(0.97..1.03)
            expectThat(ratios.percentile90 / bias).isIn(1.04..1.11)
        }
    }

    // Guards against a few long tasks, 3% of which take 7 times as long, that make all runs count as long.
    @Test
    fun `should barely move with a tail of long tasks`() {
        val without = DurationModel().apply { recordAll(scattered(1.0)) }.ratiosOf("urgent", 5)
        val tailed = scattered(1.0).mapIndexed { index, ratio -> if (index % 33 == 0) 7 * ratio else ratio }
        val with = DurationModel().apply { recordAll(tailed) }.ratiosOf("urgent", 5)
        expectThat(with.median / without.median).isIn(0.99..1.01)
        expectThat(with.percentile90 / without.percentile90).isIn(1.0..1.03)
    }

    // Guards against predictions from a handful of runs after a change of owner.
    @Test
    fun `should return the neutral ratios until 16 runs have completed`() {
        val model = DurationModel()
        model.recordAll(List(15) { 3.0 })
        expectThat(model.ratiosOf("urgent", 5)).isEqualTo(DurationRatios(1.0, 2.0))
        model.recordAll(listOf(3.0))
        expectThat(model.ratiosOf("urgent", 5).median).isIn(2.97..3.03)
    }

    // Guards against gangs that are judged by single tasks: a gang ends with its last member.
    @Test
    fun `should tell steps of different widths apart and fall back on the queue`() {
        val model = DurationModel()
        model.recordAll(List(40) { 1.0 }, taskCount = 1)
        model.recordAll(List(20) { 2.0 }, taskCount = 13)
        expectThat(model.ratiosOf("urgent", 1).median).isIn(0.99..1.01)
        expectThat(model.ratiosOf("urgent", 15).median).isIn(1.98..2.02)
        expectThat(model.ratiosOf("urgent", 100).median).isIn(0.99..1.01)
        expectThat(model.ratiosOf("routine", 1)).isEqualTo(DurationModel.UNKNOWN)
    }

    // Guards against memory that grows with the number of queues, and against the loss of those in use.
    @Test
    fun `should remove the histograms that were used least recently`() {
        val model = DurationModel()
        model.recordAll(List(20) { 2.0 }, queue = "busy")
        repeat(1_000) {
            model.recordAll(List(2) { 1.0 }, queue = "queue$it", taskCount = 1 shl it % 10)
            model.ratiosOf("busy", 5)
            model.ratiosOf("busy")
        }
        expectThat(model.keyCount).isLessThanOrEqualTo(DurationModel.MAX_KEYS)
        expectThat(model.ratiosOf("busy", 5).median).isGreaterThan(1.9)
    }

    // Guards against a histogram that fails on values out of its range: an estimate of 1 ms, a run that ends at once.
    @Test
    fun `should limit ratios to a sane range and ignore runs without an estimate`() {
        val model = DurationModel()
        repeat(20) { model.record("urgent", 1, estimateMs = 1, tookMs = 86_400_000) }
        expectThat(model.ratiosOf("urgent").median).isIn(49.0..51.0)
        repeat(60) { model.record("urgent", 1, estimateMs = 86_400_000, tookMs = 1) }
        expectThat(model.ratiosOf("urgent").median).isIn(0.0..0.03)
        repeat(200) { model.record("urgent", 1, estimateMs = 0, tookMs = 5_000) }
        repeat(200) { model.record("urgent", 1, estimateMs = 5_000, tookMs = -1) }
        expectThat(model.ratiosOf("urgent").median).isIn(0.0..0.03)
    }
}
