package org.orioleferry.bench.capacity

import kotlinx.coroutines.delay
import org.orioleferry.bench.demo.DemoWorkload
import org.orioleferry.bench.load.CallResult
import org.orioleferry.bench.load.DaemonClient
import org.orioleferry.bench.process.DaemonProcess
import org.orioleferry.bench.process.Deployment
import org.orioleferry.bench.process.DeploymentSize
import org.orioleferry.bench.process.ProcessUsage
import org.orioleferry.bench.process.benchJson
import org.orioleferry.core.api.JobSubmission
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.WorkspaceName
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path

/** Resource usage of an idle deployment; processor time and resident memory are the highest of any daemon. */
private class IdleUsage(
    val processorMsPerSecond: Double,
    val residentKb: Double,
    val readsPerSecond: Double,
)

/** Measures processor time, resident memory and store reads of daemon processes. */
internal class DeploymentSlopes(
    private val folder: Path,
    private val print: (String) -> Unit,
) {
    suspend fun measure(): List<Slope> {
        val byWorkers = listOf(8, 32, 96).associateWith { runIdle(it, DAEMONS) }
        val byDaemons =
            listOf(2, 6).associateWith { runIdle(FLEET_WORKERS, it) } + (DAEMONS to byWorkers.getValue(FLEET_WORKERS))
        return listOf(
            slopeOf(SlopeKey.DAEMON_PROCESSOR, byWorkers.points { it.processorMsPerSecond }),
            slopeOf(SlopeKey.DAEMON_RESIDENT, byWorkers.points { it.residentKb }),
            slopeOf(SlopeKey.READS_DAEMON, byDaemons.points { it.readsPerSecond }),
        ) + measureOwner()
    }

    private fun <T> Map<Int, T>.points(value: (T) -> Double) = map { Point(it.key.toDouble(), value(it.value)) }

    private suspend fun runIdle(
        workers: Int,
        daemons: Int,
    ): IdleUsage {
        val size = DeploymentSize(DemoWorkload.dataCentres, workers, daemons)
        return Deployment(size, newFolder("idle-$workers-$daemons")).use {
            it.start()
            delay(SETTLE_MS)
            measureIdle(it)
        }
    }

    private suspend fun measureIdle(deployment: Deployment): IdleUsage {
        val before = deployment.daemons.map(::usageOf)
        val reads = readsOf(deployment)
        delay(MEASURED_MS)
        val after = deployment.daemons.map(::usageOf)
        val readsPerSecond = (readsOf(deployment) - reads) / MEASURED_SECONDS
        val times = after.indices.map { (after[it].processorMs - before[it].processorMs) / MEASURED_SECONDS }
        print("  processor time of each daemon, ms/s: $times")
        return IdleUsage(times.max(), after.maxOf { it.residentKb }.toDouble(), readsPerSecond)
    }

    /**
     * Measures a daemon that owns the only data centre. Gangs with one accelerator per task are added between the
     * points.
     */
    private suspend fun measureOwner(): List<Slope> {
        val size = DeploymentSize(listOf(Fixture.dataCentre.value), FLEET_WORKERS, daemons = 1)
        return Deployment(size, newFolder("owner")).use { deployment ->
            deployment.start()
            val points = mutableMapOf<Int, IdleUsage>()
            DaemonClient { deployment.daemons }.use { client ->
                check(client.apply(noteWithoutGuarantees()) is CallResult.Answered) { "the note was not accepted" }
                delay(SETTLE_MS)
                listOf(0, 96, 256).zipWithNext { tasks, next -> tasks to next }.forEach { (tasks, next) ->
                    points[tasks] = measureIdle(deployment)
                    startGangs(client, next - tasks)
                }
                points[FLEET_ACCELERATORS] = measureIdle(deployment)
            }
            listOf(
                slopeOf(SlopeKey.OWNER_PROCESSOR, points.points { it.processorMsPerSecond }),
                slopeOf(SlopeKey.OWNER_RESIDENT, points.points { it.residentKb }),
            )
        }
    }

    // The guarantees of the demo's release note refer to data centres that this deployment does not have.
    private fun noteWithoutGuarantees() =
        DemoWorkload.note.let { note ->
            note.copy(add = note.add.copy(workspaces = note.add.workspaces.map { it.copy(guarantees = emptyList()) }))
        }

    /** Starts gangs with [tasks] tasks in total and waits until their renewal period has grown to 3 s. */
    private suspend fun startGangs(
        client: DaemonClient,
        tasks: Int,
    ) {
        repeat(tasks / TASKS_PER_GANG) {
            val submission =
                JobSubmission(
                    WorkspaceName("grading"),
                    "planner",
                    JobClassName("grade-check"),
                    Gang(TASKS_PER_GANG, 1),
                    RUN_MS,
                    RUN_MS,
                    DataCentre(Fixture.dataCentre.value),
                )
            check(client.submit(submission) is CallResult.Answered) { "the daemon did not accept a job" }
        }
        delay(RENEWAL_SETTLE_MS)
    }

    private fun usageOf(daemon: DaemonProcess): ProcessUsage = checkNotNull(daemon.process.usage())

    private fun readsOf(deployment: Deployment): Long {
        val text = URI("${deployment.platformUrl}/statistics").toURL().readText()
        return benchJson.decodeFromString<StoreCounts>(text).reads
    }

    private fun newFolder(name: String): Path = Files.createDirectories(folder.resolve(name))

    private companion object {
        const val DAEMONS = 4
        const val FLEET_WORKERS = 32
        const val FLEET_ACCELERATORS = 256
        const val TASKS_PER_GANG = 32
        const val RUN_MS = 3_600_000L
        const val SETTLE_MS = 6_000L
        const val MEASURED_MS = 10_000L
        const val MEASURED_SECONDS = 10.0

        // The renewal period of a run is a tenth of its age, but at most 3 s, a third of the lease TTL of 9 s.
        const val RENEWAL_SETTLE_MS = 31_000L
    }
}
