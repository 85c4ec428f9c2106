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

/** Results of one measurement step, with the load averages of the machine, on which processor times depend. */
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

/** `bin/bench capacity`: measures the slopes from which `docs/CAPACITY.md` computes its figures. */
internal class CapacityCommand : CliktCommand("capacity") {
    private val only by option("--step", help = "Measure this group only and keep the other results").multiple()
    private val file = Path.of("target", "bench", "results.json")

    override fun run() {
        val folder = Files.createTempDirectory("orioleferry-capacity")
        val steps = createSteps(folder)
        val unknown = only - steps.keys
        if (unknown.isNotEmpty()) throw UsageError("unknown step $unknown; the steps are ${steps.keys}")
        steps.filterKeys { only.isEmpty() || it in only }.forEach { (name, measure) -> measure(name, measure) }
        val measured = readResults().steps.flatMap { it.slopes }.map { it.key }
        echo(
            "slopes in $file: ${measured.size}; not measured yet: ${SlopeKey.entries.map {
                it.key
            } - measured.toSet()}",
        )
    }

    private fun createSteps(folder: Path): Map<String, suspend () -> List<Slope>> =
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
        val loadAtStart = systemLoadAverage()
        echo("measuring: $name (load average $loadAtStart)")
        val slopes = runBlocking(Dispatchers.Default) { measure() }
        slopes.forEach { echo(it.toLine()) }
        val processors = Runtime.getRuntime().availableProcessors()
        val java = System.getProperty("java.version")
        writeResults(StepResults(name, startedAt, processors, java, loadAtStart, systemLoadAverage(), slopes))
    }

    /** Replaces the results of [step] in the file and keeps those of the other steps. */
    private fun writeResults(step: StepResults) {
        val others = readResults().steps.filter { it.step != step.step }
        Files.createDirectories(file.parent)
        Files.writeString(file, benchJson.encodeToString(CapacityResults(others + step)))
    }

    private fun readResults(): CapacityResults =
        if (Files.exists(file)) benchJson.decodeFromString(Files.readString(file)) else CapacityResults(emptyList())

    private fun systemLoadAverage(): Double = ManagementFactory.getOperatingSystemMXBean().systemLoadAverage
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
