package org.orioleferry.bench.capacity

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isLessThan
import java.nio.file.Files
import java.nio.file.Path

internal class CapacityPageTest {
    private val keys = SlopeKey.entries.map { it.key }
    private val page = Files.readString(Path.of("..", "docs", "CAPACITY.md"))

    // A key is a sequence of lower-case words joined by dots, the first of which is a family that the command measures.
    private val families = keys.map { it.substringBefore('.') }.toSet()
    private val quoted = Regex("`([a-z-]+(?:\\.[a-z-]+)+)`").findAll(page).map { it.groupValues[1] }
    private val named = quoted.filter { it.substringBefore('.') in families }.toSet()

    // Guards against a figure on the page that no run of the command can reproduce.
    @Test
    fun `should name only slopes that the command measures`() {
        expectThat(named - keys.toSet()).isEmpty()
    }

    // Guards against a measured slope that the figures of the page leave out unnoticed.
    @Test
    fun `should name every slope on the page`() {
        expectThat(keys.toSet() - named).isEmpty()
    }

    // Guards against two slopes under one key, which would make references on the page ambiguous.
    @Test
    fun `should have distinct keys`() {
        expectThat(keys.distinct()).hasSize(SlopeKey.entries.size)
    }

    // Guards against an error in the fit, which would change every figure of the page.
    @Test
    fun `should fit a line exactly`() {
        val fit = leastSquares(listOf(1, 4, 10, 20).map { Point(it.toDouble(), 3.0 * it + 7.0) })
        expectThat(kotlin.math.abs(fit.slope - 3.0)).isLessThan(1e-9)
        expectThat(kotlin.math.abs(fit.intercept - 7.0)).isLessThan(1e-9)
        expectThat(fit.deviation).isLessThan(1e-9)
    }

    // Guards against a fit that uses only the outermost points. The expected values were computed by hand.
    @Test
    fun `should fit scattered points by least squares and report the greatest deviation`() {
        val points = listOf(Point(0.0, 0.0), Point(1.0, 3.0), Point(2.0, 0.0), Point(3.0, 5.0))
        val fit = leastSquares(points)
        expectThat(kotlin.math.abs(fit.slope - 1.2)).isLessThan(1e-9)
        expectThat(kotlin.math.abs(fit.intercept - 0.2)).isLessThan(1e-9)
        expectThat(kotlin.math.abs(fit.deviation - 2.6)).isLessThan(1e-9)
    }

    // Guards against a slope from two sizes, which cannot show whether the growth is linear.
    @Test
    fun `should refuse fewer than three sizes`() {
        val failure =
            assertThrows<IllegalArgumentException> {
                leastSquares(listOf(Point(1.0, 1.0), Point(2.0, 2.0), Point(2.0, 3.0)))
            }
        expectThat(failure.message.orEmpty()).contains("3 different sizes")
    }
}
