package org.orioleferry.bench.capacity

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import org.orioleferry.bench.process.benchJson
import java.lang.management.ManagementFactory
import java.nio.file.Files
import java.nio.file.Path
import java.time.Instant
import java.util.Locale

/** Totals of `GET /statistics` of the platform stand-in. */
@Serializable
internal data class StoreCounts(
    val reads: Long,
    val writes: Long,
)

/** One group of slopes, with the machine's state, since processor times depend on it. */
@Serializable
internal data class StepResults(
    val step: String,
    val startedAt: String,
    val processors: Int,
    val java: String,
    val loadAtStart: Double,
    val loadAtEnd: Double,
    val slopes: List<Slope>,
)

/** Content of `results.json`. */
@Serializable
internal data class CapacityResults(
    val steps: List<StepResults>,
)

/** `bin/bench capacity`: the slopes that `docs/CAPACITY.md` computes its figures from. */
internal class CapacityCommand : CliktCommand("capacity") {
    private val only by option("--step", help = "Measure this group only and keep the other results").multiple()
    private val file = Path.of("target", "bench", "results.json")

    override fun run() {
        val folder = Files.createTempDirectory("orioleferry-capacity")
        val steps = stepsIn(folder)
        val unknown = only - steps.keys
        if (unknown.isNotEmpty()) throw UsageError("unknown step $unknown; the steps are ${steps.keys}")
        steps.filterKeys { only.isEmpty() || it in only }.forEach { (name, measure) -> measure(name, measure) }
        val measured = read().steps.flatMap { it.slopes }.map { it.key }
        echo(
            "slopes in $file: ${measured.size}; not measured yet: ${SlopeKey.entries.map {
                it.key
            } - measured.toSet()}",
        )
    }

    private fun stepsIn(folder: Path): Map<String, suspend () -> List<Slope>> =
        linkedMapOf(
            "heap" to { HeapSlopes.measure() },
            "store" to { StoreSlopes.measure() },
            "ownership" to { OwnershipSlopes.measure() },
            "placement" to { PlacementSlopes.measure() },
            "heartbeats" to { HeartbeatSlopes.measure() },
            "calls" to { CallSlopes(Files.createDirectories(folder.resolve("calls"))).measure() },
            "deployments" to { DeploymentSlopes(folder, ::echo).measure() },
        )

    private fun measure(
        name: String,
        measure: suspend () -> List<Slope>,
    ) {
        val startedAt = Instant.now().toString()
        val loadAtStart = load()
        echo("measuring: $name (load average $loadAtStart)")
        val slopes = runBlocking(Dispatchers.Default) { measure() }
        slopes.forEach { echo(it.toLine()) }
        val processors = Runtime.getRuntime().availableProcessors()
        val java = System.getProperty("java.version")
        write(StepResults(name, startedAt, processors, java, loadAtStart, load(), slopes))
    }

    /** Replaces the results of one step. */
    private fun write(step: StepResults) {
        val others = read().steps.filter { it.step != step.step }
        Files.createDirectories(file.parent)
        Files.writeString(file, benchJson.encodeToString(CapacityResults(others + step)))
    }

    private fun read(): CapacityResults =
        if (Files.exists(file)) benchJson.decodeFromString(Files.readString(file)) else CapacityResults(emptyList())

    private fun load(): Double = ManagementFactory.getOperatingSystemMXBean().systemLoadAverage
}

private fun Slope.toLine(): String =
    "  %-30s %12.4f %-8s per %s; at 0: %.3f, off by at most %.3f".format(
        Locale.ROOT,
        key,
        fit.slope,
        unit,
        per,
        fit.intercept,
        fit.deviation,
    )
