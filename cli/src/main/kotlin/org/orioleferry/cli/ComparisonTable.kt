package org.orioleferry.cli

import org.orioleferry.core.replay.GroupMeasures
import org.orioleferry.core.replay.PolicyMeasures
import org.orioleferry.core.replay.ReplayEnd
import org.orioleferry.core.replay.Targets
import java.util.Locale

private const val MINUTE_MS = 60_000.0

/** Renders a table with a column per policy: the mean over the days, with the range when there are several. */
internal fun comparisonTable(measures: Map<String, List<PolicyMeasures>>): String {
    val rows =
        overallRows(measures) + groupRows("class", measures) { it.byClass } +
            groupRows("workspace", measures) { it.byWorkspace }
    return textTable(listOf("measure", "target") + measures.keys, rows)
}

private fun overallRows(measures: Map<String, List<PolicyMeasures>>): List<List<String>> {
    fun row(
        label: String,
        target: String,
        digits: Int = 2,
        value: (PolicyMeasures) -> Double,
    ) = listOf(label, target) + measures.values.map { formatRange(it.map(value), digits) }
    return listOf(
        row("score (weighted)", "< 1") { it.score },
        row("mean slowdown", "") { it.all.meanSlowdown },
        row("bound of mean slowdown", "", 3) { it.slowdownBound },
        row("mean slowdown / bound", "<= ${Targets.COMPLETION}") { it.completion },
        row("p99 slowdown (bound 1)", "") { it.all.p99Slowdown },
        row("mean wait, min", "") { it.all.meanWaitMs / MINUTE_MS },
        row("flood: p99 of other work / calm", "<= ${Targets.FLOOD}") { it.flood },
        row("small callers: p99 / alone", "<= ${Targets.SMALL_CALLERS}") { it.smallCallers },
        row("Jain index over callers", ">= ${Targets.FAIRNESS}") { it.fairness },
        row("16-gang starts at once, %", ">= ${(Targets.PROBE_SHARE * 100).toInt()}") { it.probeShare * 100 },
        row("64-gangs done", "") { it.largeGangs.toDouble() },
        row(
            "of these, started within ${Targets.DRAIN_FACTOR} x drain bound",
            "all",
        ) { it.largeGangsInBound.toDouble() },
        row("free accelerators scattered, %", "") { it.fragmentation * 100 },
        row("utilisation, %", "") { it.utilisation * 100 },
        row("jobs done", "") { it.all.done.toDouble() },
        row("stops for other jobs", "") { it.all.stops.toDouble() },
        row("jobs refused as never fitting", "") { it.neverFits.toDouble() },
        row("jobs stopped ${ReplayEnd.MAX_STOPS} times, given up", "0") { it.stoppedTooOften.toDouble() },
        row("jobs never started", "0") { it.neverStarted.toDouble() },
    )
}

private fun groupRows(
    kind: String,
    measures: Map<String, List<PolicyMeasures>>,
    groups: (PolicyMeasures) -> Map<String, GroupMeasures>,
): List<List<String>> {
    val names =
        measures.values
            .flatten()
            .flatMap { groups(it).keys }
            .toSortedSet()
    return names.flatMap { name ->
        listOf<Pair<String, (GroupMeasures) -> Double>>(
            "mean slowdown" to { it.meanSlowdown },
            "p99 slowdown" to { it.p99Slowdown },
        ).map { (label, value) ->
            listOf("$kind $name: $label", "") +
                measures.values.map { days -> formatRange(days.mapNotNull { groups(it)[name] }.map(value)) }
        }
    }
}

private fun formatRange(
    values: List<Double>,
    digits: Int = 2,
): String {
    fun format(value: Double) = String.format(Locale.ROOT, "%.${digits}f", value)
    return when (values.size) {
        0 -> "-"
        1 -> format(values.single())
        else -> "${format(values.average())} [${format(values.min())}..${format(values.max())}]"
    }
}
