package org.orioleferry.cli

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.unique
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import org.orioleferry.core.model.PlacementKind
import org.orioleferry.core.placement.placementPolicyOf
import org.orioleferry.core.replay.Deployment
import org.orioleferry.core.replay.PolicyMeasures
import org.orioleferry.core.replay.ReplayResult
import org.orioleferry.core.replay.StreamJob
import org.orioleferry.core.replay.StreamResult
import org.orioleferry.core.replay.generateDay
import org.orioleferry.core.replay.measurePolicy
import org.orioleferry.core.replay.readStream
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

internal val PlacementKind.label: String get() = name.lowercase().replace('_', '-')

internal class PolicyCompare :
    ToolCommand("compare", "Replay a stream of jobs under several policies, in virtual time") {
    private val stream by option(
        "--stream",
        help = "File with one job a line (docs/replay.md), or generated:SEED, or generated:FIRST-LAST for several days",
    ).required()
    private val policies by option("--policy", help = "May be given several times; all when absent")
        .choice(PlacementKind.entries.associateBy { it.label })
        .multiple()
        .unique()
    private val deployment by option("--deployment", help = "Fleet, guarantees and weights")
        .choice(Deployment.all)
        .default(Deployment.all.getValue("kalamata"), "kalamata")
    private val plot by option("--plot", help = "Write the course of the first day to this SVG file").path()

    override fun run() {
        val streams = readStreams()
        val kinds = policies.ifEmpty { PlacementKind.entries.toSet() }
        val outcomes =
            kinds.associate {
                it.label to
                    streams.map { jobs -> measurePolicy(deployment, jobs, placementPolicyOf(it)) }
            }
        val measures = outcomes.mapValues { (_, runs) -> runs.map { it.second } }
        if (isJson) {
            val serializer = MapSerializer(String.serializer(), ListSerializer(PolicyMeasures.serializer()))
            printJson(toolJson.encodeToJsonElement(serializer, measures))
        } else {
            echo(comparisonTable(measures))
        }
        plot?.let { writePlot(it, outcomes.mapValues { (_, runs) -> runs.first().first }) }
    }

    private fun readStreams(): List<List<StreamJob>> {
        val seeds = GENERATED.matchEntire(stream) ?: return listOf(readFile(Path.of(stream)))
        val first = seeds.groupValues[1].toLong()
        val last = seeds.groupValues[2].ifEmpty { "$first" }.toLong()
        if (last < first ||
            last - first >= MAX_DAYS
        ) {
            fail("$stream: expected at most $MAX_DAYS seeds in rising order")
        }
        return (first..last).map { generateDay(deployment, it) }
    }

    private fun readFile(file: Path): List<StreamJob> {
        val lines =
            try {
                Files.readAllLines(file)
            } catch (e: IOException) {
                fail("$file: expected a readable stream of jobs, or generated:SEED (${e.javaClass.simpleName})")
            }
        return when (val result = readStream(lines)) {
            is StreamResult.Loaded -> result.jobs.ifEmpty { fail("$file: expected at least one job") }
            is StreamResult.Rejected ->
                fail(
                    result.problems.entries.joinToString("\n") { (n, text) -> "$file:$n: $text" },
                )
        }
    }

    private fun writePlot(
        file: Path,
        results: Map<String, ReplayResult>,
    ) {
        try {
            Files.writeString(file, policyPlot("${deployment.name}, $stream", results.mapValues { it.value.samples }))
        } catch (e: IOException) {
            fail("$file: the plot cannot be written (${e.javaClass.simpleName})")
        }
    }

    private fun fail(message: String): Nothing {
        echo(message, err = true)
        exit(ExitCode.USAGE)
    }

    private companion object {
        val GENERATED = Regex("""generated:(\d{1,9})(?:-(\d{1,9}))?""")
        const val MAX_DAYS = 1_000
    }
}
