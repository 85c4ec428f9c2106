package org.orioleferry.bench.capacity

import kotlinx.serialization.Serializable
import kotlin.math.abs

/** One measurement: [value] of the quantity at [size] of what it is measured against. */
@Serializable
internal data class Point(
    val size: Double,
    val value: Double,
)

/** A straight line through measured points. [deviation] is the greatest distance of a point from it. */
@Serializable
internal data class Fit(
    val slope: Double,
    val intercept: Double,
    val deviation: Double,
)

/** Least-squares line through [points], which have at least three different sizes. */
internal fun leastSquares(points: List<Point>): Fit {
    val sizes = points.map { it.size }.distinct().size
    require(sizes >= MIN_POINTS) { "a slope needs $MIN_POINTS different sizes, not $sizes" }
    val meanSize = points.map { it.size }.average()
    val meanValue = points.map { it.value }.average()
    val covariance = points.sumOf { (it.size - meanSize) * (it.value - meanValue) }
    val variance = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
    val slope = covariance / variance
    val intercept = meanValue - slope * meanSize
    val deviation = points.maxOf { abs(it.value - intercept - slope * it.size) }
    return Fit(slope, intercept, deviation)
}

/** A measured slope under its key. [unit] is that of a value, [per] what the size counts. */
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

private const val MIN_POINTS = 3
