package org.orioleferry.bench.capacity

import kotlinx.serialization.Serializable
import kotlin.math.abs

/** One measurement: the dependent quantity has [value] when the independent one has [size]. */
@Serializable
internal data class Point(
    val size: Double,
    val value: Double,
)

/** Straight line fitted to measured points. [deviation] is the largest absolute residual, in units of the value. */
@Serializable
internal data class Fit(
    val slope: Double,
    val intercept: Double,
    val deviation: Double,
)

/** Fits a least-squares line to [points]; throws [IllegalArgumentException] for fewer than three distinct sizes. */
internal fun leastSquares(points: List<Point>): Fit {
    val sizes = points.map { it.size }.distinct().size
    require(sizes >= MIN_DISTINCT_SIZES) { "a slope needs $MIN_DISTINCT_SIZES different sizes, not $sizes" }
    val meanSize = points.map { it.size }.average()
    val meanValue = points.map { it.value }.average()
    val covariance = points.sumOf { (it.size - meanSize) * (it.value - meanValue) }
    val variance = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
    val slope = covariance / variance
    val intercept = meanValue - slope * meanSize
    val deviation = points.maxOf { abs(it.value - intercept - slope * it.size) }
    return Fit(slope, intercept, deviation)
}

/** Measured slope under its key. [unit] is the unit of the values, [per] names what the size counts. */
@Serializable
internal data class Slope(
    val key: String,
    val unit: String,
    val per: String,
    val fit: Fit,
    val points: List<Point>,
)

/** Fits [points] under [key]. */
internal fun slopeOf(
    key: SlopeKey,
    points: List<Point>,
): Slope = Slope(key.key, key.unit, key.per, leastSquares(points), points)

private const val MIN_DISTINCT_SIZES = 3
