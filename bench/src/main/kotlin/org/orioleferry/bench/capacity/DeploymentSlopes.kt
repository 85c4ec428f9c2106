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

/** What a deployment uses while nothing happens. */
private class IdleUse(
    val processorMsPerSecond: Double,
    val residentKb: Double,
    val readsPerSecond: Double,
)

/** Processor time and resident memory of real daemons. */
internal class DeploymentSlopes(
    private val folder: Path,
    private val print: (String) -> Unit,
) {
    suspend fun measure(): List<Slope> {
        val byWorkers = listOf(8, 32, 96).associateWith { idle(it, DAEMONS) }
        val byDaemons =
            listOf(2, 6).associateWith { idle(SMALL_FLEET, it) } + (DAEMONS to byWorkers.getValue(SMALL_FLEET))
        return listOf(
            slopeOf(SlopeKey.DAEMON_PROCESSOR, byWorkers.points { it.processorMsPerSecond }),
            slopeOf(SlopeKey.DAEMON_RESIDENT, byWorkers.points { it.residentKb }),
            slopeOf(SlopeKey.READS_DAEMON, byDaemons.points { it.readsPerSecond }),
        ) + owner()
    }

    private fun <T> Map<Int, T>.points(value: (T) -> Double) = map { Point(it.key.toDouble(), value(it.value)) }

    private suspend fun idle(
        workers: Int,
        daemons: Int,
    ): IdleUse {
        val size = DeploymentSize(DemoWorkload.dataCentres, workers, daemons)
        return Deployment(size, newFolder("idle-$workers-$daemons")).use {
            it.start()
            delay(SETTLE_MS)
            measureIdle(it)
        }
    }

    private suspend fun measureIdle(deployment: Deployment): IdleUse {
        val before = deployment.daemons.map(::usageOf)
        val reads = readsOf(deployment)
        delay(MEASURED_MS)
        val after = deployment.daemons.map(::usageOf)
        val readsPerSecond = (readsOf(deployment) - reads) / SECONDS
        val times = after.indices.map { (after[it].processorMs - before[it].processorMs) / SECONDS }
        print("  processor time of each daemon, ms/s: $times")
        return IdleUse(times.max(), after.maxOf { it.residentKb }.toDouble(), readsPerSecond)
    }

    /** The only daemon owns the only data centre; gangs of one accelerator a task are added between the points. */
    private suspend fun owner(): List<Slope> {
        val size = DeploymentSize(listOf(Sample.domain.value), SMALL_FLEET, daemons = 1)
        return Deployment(size, newFolder("owner")).use { deployment ->
            deployment.start()
            val points = mutableMapOf<Int, IdleUse>()
            DaemonClient { deployment.daemons }.use { client ->
                check(client.apply(note()) is CallResult.Answered) { "the note was refused" }
                delay(SETTLE_MS)
                listOf(0, 96, 256).zipWithNext { tasks, next -> tasks to next }.forEach { (tasks, next) ->
                    points[tasks] = measureIdle(deployment)
                    run(client, next - tasks)
                }
                points[FULL_FLEET] = measureIdle(deployment)
            }
            listOf(
                slopeOf(SlopeKey.OWNER_PROCESSOR, points.points { it.processorMsPerSecond }),
                slopeOf(SlopeKey.OWNER_RESIDENT, points.points { it.residentKb }),
            )
        }
    }

    // The guarantees of the demo's note name data centres that this deployment does not have.
    private fun note() =
        DemoWorkload.note.let { note ->
            note.copy(add = note.add.copy(workspaces = note.add.workspaces.map { it.copy(guarantees = emptyList()) }))
        }

    /** Starts gangs with [tasks] tasks in all and waits until they are old enough to be renewed every 3 s. */
    private suspend fun run(
        client: DaemonClient,
        tasks: Int,
    ) {
        repeat(tasks / GANG) {
            val submission =
                JobSubmission(
                    WorkspaceName("grading"),
                    "planner",
                    JobClassName("grade-check"),
                    Gang(GANG, 1),
                    RUN_MS,
                    RUN_MS,
                    DataCentre(Sample.domain.value),
                )
            check(client.submit(submission) is CallResult.Answered) { "a job was refused" }
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
        const val SMALL_FLEET = 32
        const val FULL_FLEET = 256
        const val GANG = 32
        const val RUN_MS = 3_600_000L
        const val SETTLE_MS = 6_000L
        const val MEASURED_MS = 10_000L
        const val SECONDS = 10.0

        // A run is renewed after a tenth of its age, up to a third of the lease TTL of 9 s.
        const val RENEWAL_SETTLE_MS = 31_000L
    }
}
