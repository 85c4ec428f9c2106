package org.orioleferry.cli

import org.orioleferry.core.replay.ReplaySample
import java.util.Locale
import kotlin.math.ceil
import kotlin.math.log10
import kotlin.math.pow

// Lengths in SVG user units.
private const val WIDTH = 980
private const val LEFT = 78
private const val RIGHT = 24
private const val TOP = 84
private const val PANEL_HEIGHT = 170
private const val PANEL_GAP = 58
private const val PLOT_WIDTH = WIDTH - LEFT - RIGHT
private const val HOUR_MS = 3_600_000.0

// Colours that remain distinguishable with a colour vision deficiency; the dashes distinguish lines in greyscale print.
private val COLOURS = listOf("#0072b2", "#d55e00", "#009e73", "#cc79a7")
private val DASHES = listOf("", "7 3", "2 3", "9 3 2 3")

private class Panel(
    val title: String,
    val unit: String,
    val fixedMax: Double?,
    val value: (ReplaySample) -> Double,
)

private val PANELS =
    listOf(
        Panel("Utilisation", "% of accelerators", 100.0) { 100.0 * it.used / it.capacity },
        Panel("Waiting", "accelerators asked for", null) { it.waiting.toDouble() },
        Panel("Fragmentation", "% of free accelerators", 100.0) { 100 * it.fragmentation },
    )

/** Renders an SVG image of utilisation, waiting work and fragmentation over time, with one line per policy. */
internal fun policyPlot(
    subject: String,
    series: Map<String, List<ReplaySample>>,
): String =
    buildString {
        val height = TOP + PANELS.size * (PANEL_HEIGHT + PANEL_GAP)
        appendLine(
            """<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 $WIDTH $height" width="$WIDTH" height="$height">""",
        )
        appendLine("""<style>text{font-family:sans-serif;fill:#222}</style>""")
        appendLine("""<rect width="$WIDTH" height="$height" fill="white"/>""")
        append(text(LEFT, 30, "Placement policies compared: ${escape(subject)}", "font-size:18px;font-weight:bold"))
        append(legend(series.keys))
        PANELS.forEachIndexed { index, panel -> append(panel(panel, TOP + index * (PANEL_HEIGHT + PANEL_GAP), series)) }
        val axisY = height - 8
        append(
            text(LEFT + PLOT_WIDTH / 2, axisY, "time since the start of the stream, hours", "font-size:13px", "middle"),
        )
        appendLine("</svg>")
    }

private fun legend(names: Set<String>): String =
    buildString {
        var x = LEFT
        names.forEachIndexed { index, name ->
            appendLine("""<line x1="$x" y1="50" x2="${x + 30}" y2="50" ${stroke(index)}/>""")
            append(text(x + 37, 54, escape(name), "font-size:13px"))
            x += 60 + name.length * 8
        }
    }

private fun panel(
    panel: Panel,
    top: Int,
    series: Map<String, List<ReplaySample>>,
): String =
    buildString {
        val all = series.values.flatten()
        val maxY = panel.fixedMax ?: roundUpAxisEnd(all.maxOfOrNull(panel.value) ?: 1.0)
        val endMs = (all.maxOfOrNull { it.timeMs } ?: 1).coerceAtLeast(1).toDouble()
        append(text(LEFT, top - 8, "${panel.title} (${panel.unit})", "font-size:13px;font-weight:bold"))
        for (step in 0..4) {
            val y = top + PANEL_HEIGHT - PANEL_HEIGHT * step / 4
            appendLine("""<line x1="$LEFT" y1="$y" x2="${LEFT + PLOT_WIDTH}" y2="$y" stroke="#ddd"/>""")
            append(text(LEFT - 8, y + 4, label(maxY * step / 4), "font-size:11px", "end"))
        }
        append(timeTicks(top, endMs))
        series.values.forEachIndexed { index, samples ->
            val points =
                samples.joinToString(" ") {
                    val x = LEFT + PLOT_WIDTH * it.timeMs / endMs
                    val y = top + PANEL_HEIGHT - PANEL_HEIGHT * panel.value(it) / maxY
                    String.format(Locale.ROOT, "%.1f,%.1f", x, y)
                }
            appendLine("""<polyline points="$points" fill="none" ${stroke(index)}/>""")
        }
        appendLine(
            """<rect x="$LEFT" y="$top" width="$PLOT_WIDTH" height="$PANEL_HEIGHT" fill="none" stroke="#444"/>""",
        )
    }

private fun timeTicks(
    top: Int,
    endMs: Double,
): String =
    buildString {
        val hours = endMs / HOUR_MS
        val stepHours =
            listOf(0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 6.0, 12.0, 24.0).firstOrNull { hours / it <= 10 } ?: (hours / 10)
        for (index in 0..(hours / stepHours).toInt()) {
            val x = (LEFT + PLOT_WIDTH * index * stepHours / hours).toInt()
            val bottom = top + PANEL_HEIGHT
            appendLine("""<line x1="$x" y1="$bottom" x2="$x" y2="${bottom + 5}" stroke="#444"/>""")
            append(text(x, bottom + 18, label(index * stepHours), "font-size:11px", "middle"))
        }
    }

private fun stroke(index: Int): String {
    val dash = DASHES[index % DASHES.size]
    val dashes = if (dash.isEmpty()) "" else """ stroke-dasharray="$dash""""
    return """stroke="${COLOURS[index % COLOURS.size]}" stroke-width="1.7"$dashes"""
}

private fun text(
    x: Int,
    y: Int,
    content: String,
    style: String,
    anchor: String = "start",
): String = """<text x="$x" y="$y" text-anchor="$anchor" style="$style">$content</text>""" + "\n"

private fun label(value: Double): String =
    if (value ==
        value.toLong().toDouble()
    ) {
        "${value.toLong()}"
    } else {
        String.format(Locale.ROOT, "%.2f", value).trimEnd('0')
    }

/** Rounds [value] up to 1, 2, 4 or 8 times a power of ten, so that quarters of the axis are round numbers too. */
private fun roundUpAxisEnd(value: Double): Double {
    if (value <= 1) return 1.0
    val power = 10.0.pow(ceil(log10(value)) - 1)
    return listOf(1.0, 2.0, 4.0, 8.0, 10.0).first { it * power >= value - 1e-9 } * power
}

private fun escape(text: String): String = text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")
