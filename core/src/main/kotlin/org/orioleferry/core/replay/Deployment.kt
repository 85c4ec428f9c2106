package org.orioleferry.core.replay

import com.charleskorn.kaml.Yaml
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.ReleaseNote
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.notes.foldNote
import org.orioleferry.core.placement.PlacementWorker

/** Weights of the measures in the comparison of policies. They add up to 1. */
public data class MeasureWeights(
    val completion: Double,
    val fragmentation: Double,
    val flood: Double,
    val smallCallers: Double,
)

/**
 * One class of jobs in generated days.
 *
 * @property share share of the jobs.
 * @property largestGang largest gang in accelerators.
 * @property medianRunMs median of the lognormal run time before it is scaled to the load, in milliseconds.
 */
public data class JobMix(
    val jobClass: String,
    val workspace: String,
    val share: Double,
    val largestGang: Int,
    val medianRunMs: Double,
)

/** The fleet, the first release note and the work of one deployment, as in section 1.6 of `docs/design.md`. */
public data class Deployment(
    val name: String,
    val dataCentres: List<DataCentre>,
    val workersPerDataCentre: Int,
    val acceleratorsPerWorker: Int,
    val workersPerRack: Int,
    val configuration: Configuration,
    val mix: List<JobMix>,
    val weights: MeasureWeights,
) {
    /** Accelerators of one data centre. */
    public val acceleratorsPerDataCentre: Int get() = workersPerDataCentre * acceleratorsPerWorker

    /** Creates the workers of [dataCentre], all of them idle. */
    public fun workers(dataCentre: DataCentre): List<PlacementWorker> =
        List(workersPerDataCentre) { index ->
            val rack = "$dataCentre-r${index / workersPerRack}"
            PlacementWorker(WorkerId("$dataCentre-w$index"), rack, acceleratorsPerWorker)
        }

    public companion object {
        /** The built-in deployments by name. */
        public val all: Map<String, Deployment> by lazy { listOf(kalamata(), omotnica()).associateBy { it.name } }
    }
}

private const val MINUTE_MS = 60_000.0

private fun kalamata() =
    Deployment(
        name = "kalamata",
        dataCentres = listOf("kalamata-a", "pylos-b", "koroni-c", "messini-d").map(::DataCentre),
        workersPerDataCentre = 8,
        acceleratorsPerWorker = 8,
        workersPerRack = 6,
        configuration = configuration("kalamata"),
        mix =
            listOf(
                JobMix("shed-credit", "sheds", 0.10, 4, 5 * MINUTE_MS),
                JobMix("weighing-slip", "sheds", 0.25, 8, 15 * MINUTE_MS),
                JobMix("wage-run", "wages", 0.15, 16, 30 * MINUTE_MS),
                JobMix("season-reconciliation", "reconciliation", 0.30, 64, 60 * MINUTE_MS),
                JobMix("grade-check", "grading", 0.20, 16, 30 * MINUTE_MS),
            ),
        weights = MeasureWeights(completion = 0.15, fragmentation = 0.15, flood = 0.35, smallCallers = 0.35),
    )

private fun omotnica() =
    Deployment(
        name = "omotnica",
        dataCentres = listOf("split-a", "split-b", "solin", "kastela").map(::DataCentre),
        workersPerDataCentre = 8,
        acceleratorsPerWorker = 8,
        workersPerRack = 6,
        configuration = configuration("omotnica"),
        mix =
            listOf(
                JobMix("order-confirmation", "orders", 0.10, 4, 5 * MINUTE_MS),
                JobMix("urgent-restock-forecast", "forecasts", 0.15, 16, 15 * MINUTE_MS),
                JobMix("reprint", "reprints", 0.25, 32, 45 * MINUTE_MS),
                JobMix("refill-plan", "forecasts", 0.30, 64, 60 * MINUTE_MS),
                JobMix("bubble-lining-check", "quality", 0.20, 16, 30 * MINUTE_MS),
            ),
        weights = MeasureWeights(completion = 0.35, fragmentation = 0.35, flood = 0.15, smallCallers = 0.15),
    )

// The build copies the notes from examples/, so that the replay and the examples cannot differ.
private fun configuration(name: String): Configuration {
    val resource = "$name-note.yaml"
    val text = checkNotNull(Deployment::class.java.getResource(resource)) { "resource $resource is missing" }.readText()
    return foldNote(Configuration(), Yaml.default.decodeFromString(ReleaseNote.serializer(), text))
}
