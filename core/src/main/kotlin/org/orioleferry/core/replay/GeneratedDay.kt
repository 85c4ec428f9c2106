package org.orioleferry.core.replay

import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.WorkspaceName
import java.util.Random
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow

/**
 * Parameters of a generated day.
 *
 * @property load demand, in accelerator-ms up to the end of the day, of the jobs that can fit and are never cancelled,
 * as a share of the fleet's capacity.
 * @property jobs number of jobs outside the bursts.
 * @property jobsPerBurst number of jobs in a burst of small jobs; a burst of large jobs has half as many.
 * @property neverFitsShare share of jobs that no data centre can run.
 * @property cancelledShare share of jobs for which a cancellation is sent one by one, possibly after their end, apart
 * from the cancellation waves.
 */
public data class DayParameters(
    val load: Double = 0.8,
    val jobs: Int = 450,
    val bursts: Int = 3,
    val jobsPerBurst: Int = 30,
    val neverFitsShare: Double = 0.02,
    val cancelledShare: Double = 0.05,
    val cancellationWaves: Int = 1,
)

/**
 * Generates a day of jobs for [deployment]: lognormal run times, bursts of one class, declared run times that are wrong
 * by a factor of up to 10 in either direction, gangs of up to 64 accelerators, jobs that can never run and
 * cancellations. The same [seed] gives the same day.
 */
public fun generateDay(
    deployment: Deployment,
    seed: Long,
    parameters: DayParameters = DayParameters(),
): List<StreamJob> = DayGenerator(deployment, seed, parameters).generate()

private class DayGenerator(
    private val deployment: Deployment,
    seed: Long,
    private val parameters: DayParameters,
) {
    // java.util.Random has a specified algorithm, so that a seed gives the same day on every machine.
    private val random = Random(seed)
    private var count = 0

    fun generate(): List<StreamJob> {
        val routine =
            List(parameters.jobs) {
                generateJob(deployment.mix.pickWeighted { it.share }, random.nextLongBelow(DAY_MS))
            }
        val bursts = List(parameters.bursts) { generateBurst(it) }.flatten()
        val jobs = addCancellations(spreadOverDataCentres((routine + bursts).sortedBy { it.submittedMs }))
        return scaleToLoad(jobs)
    }

    /** Generates jobs of one class and caller within ten minutes; bursts alternate between small and large jobs. */
    private fun generateBurst(index: Int): List<StreamJob> {
        val startMs = random.nextLongBelow(DAY_MS - BURST_MS)
        val sorted = deployment.mix.sortedBy { it.largestGang }
        val half = sorted.size / 2
        val entry =
            if (index % 2 ==
                0
            ) {
                sorted[random.nextInt(half)]
            } else {
                sorted[half + random.nextInt(sorted.size - half)]
            }
        val number = if (index % 2 == 0) parameters.jobsPerBurst else parameters.jobsPerBurst / 2
        return List(number) {
            generateJob(
                entry,
                startMs + random.nextLongBelow(BURST_MS),
            ).copy(caller = "${entry.workspace}-$LARGE_CALLER")
        }
    }

    private fun generateJob(
        entry: JobMix,
        submittedMs: Long,
    ): StreamJob {
        val gaussian = random.nextGaussian()
        val workMs = (entry.medianRunMs * exp(RUN_SIGMA * gaussian)).toLong().coerceIn(SHORTEST_RUN_MS, LONGEST_RUN_MS)
        val neverFits = random.nextDouble() < parameters.neverFitsShare
        val caller = if (random.nextDouble() < LARGE_CALLER_SHARE) LARGE_CALLER else 1 + random.nextInt(SMALL_CALLERS)
        return StreamJob(
            id = "j${count++}",
            submittedMs = submittedMs,
            workspace = WorkspaceName(entry.workspace),
            caller = "${entry.workspace}-$caller",
            jobClass = JobClassName(entry.jobClass),
            gang = if (neverFits) generateImpossibleGang() else generateGang(entry.largestGang),
            declaredRunMs = (workMs * 10.0.pow(random.nextDouble() * 2 - 1)).toLong(),
            workMs = workMs,
        )
    }

    private fun generateGang(largest: Int): Gang {
        val size =
            GANG_SIZES
                .filterKeys { it <= largest }
                .toList()
                .pickWeighted { it.second }
                .first
        val perWorker = deployment.acceleratorsPerWorker
        return when {
            size <= perWorker -> Gang(1, size, Adjacency.WORKER)
            size <= 2 * perWorker -> Gang(size / perWorker, perWorker, Adjacency.RACK)
            else -> Gang(size / perWorker, perWorker, Adjacency.DATA_CENTRE)
        }
    }

    private fun generateImpossibleGang(): Gang =
        if (random.nextBoolean()) {
            Gang(1, deployment.acceleratorsPerWorker + 1, Adjacency.WORKER)
        } else {
            Gang(deployment.workersPerDataCentre + 1, deployment.acceleratorsPerWorker, Adjacency.DATA_CENTRE)
        }

    private fun spreadOverDataCentres(jobs: List<StreamJob>): List<StreamJob> =
        assignDataCentres(deployment.dataCentres, jobs)

    private fun addCancellations(jobs: List<StreamJob>): List<StreamJob> {
        val single =
            jobs.map { job ->
                if (random.nextDouble() >= parameters.cancelledShare) return@map job
                job.copy(cancelAfterMs = random.nextLongBelow(2 * job.workMs))
            }
        return (0 until parameters.cancellationWaves).fold(single) { list, _ -> addCancellationWave(list) }
    }

    /** Cancels, at one moment, on average every second job submitted in the hour before it. */
    private fun addCancellationWave(jobs: List<StreamJob>): List<StreamJob> {
        val momentMs = WAVE_WINDOW_MS + random.nextLongBelow(DAY_MS - WAVE_WINDOW_MS)
        return jobs.map { job ->
            val ageMs = momentMs - job.submittedMs
            if (ageMs !in 0..WAVE_WINDOW_MS || random.nextBoolean()) job else job.copy(cancelAfterMs = ageMs)
        }
    }

    /** Scales the run times so that the accelerator-ms within the day are [DayParameters.load] of the capacity. */
    private fun scaleToLoad(jobs: List<StreamJob>): List<StreamJob> {
        val capacity = deployment.acceleratorsPerDataCentre.toDouble() * deployment.dataCentres.size * DAY_MS
        val counted = jobs.filter { it.cancelAfterMs == null && canFit(it) }

        fun demand(factor: Double) =
            counted.sumOf { it.gang.accelerators * minOf(it.workMs * factor, (DAY_MS - it.submittedMs).toDouble()) }
        var low = 0.0
        var high = LARGEST_FACTOR
        repeat(BISECTIONS) {
            val middle = (low + high) / 2
            if (demand(middle) < parameters.load * capacity) low = middle else high = middle
        }
        return jobs.map {
            val workMs = (it.workMs * low).toLong().coerceAtLeast(1)
            it.copy(workMs = workMs, declaredRunMs = (it.declaredRunMs * low).toLong().coerceAtLeast(1))
        }
    }

    private fun canFit(job: StreamJob): Boolean =
        job.gang.accelerators <= deployment.acceleratorsPerDataCentre &&
            job.gang.acceleratorsPerMember <= deployment.acceleratorsPerWorker

    private fun <T> List<T>.pickWeighted(weight: (T) -> Double): T {
        var left = random.nextDouble() * sumOf(weight)
        return firstOrNull {
            left -= weight(it)
            left < 0
        } ?: last()
    }

    private fun Random.nextLongBelow(bound: Long): Long = (nextDouble() * bound).toLong()

    private companion object {
        const val BURST_MS = 600_000L
        const val WAVE_WINDOW_MS = 3_600_000L

        // Limits of the run time before it is scaled to the load by a factor of 0 to [LARGEST_FACTOR].
        const val SHORTEST_RUN_MS = 60_000L
        const val LONGEST_RUN_MS = 21_600_000L

        // Number, in each workspace, of the caller that submits [LARGE_CALLER_SHARE] of the jobs and all bursts.
        const val LARGE_CALLER = 0
        const val LARGE_CALLER_SHARE = 0.6
        const val SMALL_CALLERS = 8
        const val LARGEST_FACTOR = 100.0
        const val BISECTIONS = 60
        val RUN_SIGMA = ln(2.5)

        // Gang size in accelerators, to its share of the jobs.
        val GANG_SIZES =
            mapOf(1 to 0.27, 2 to 0.18, 4 to 0.18, 8 to 0.22, 16 to 0.10, 32 to 0.04, 64 to 0.03)
    }
}

internal const val DAY_MS: Long = 86_400_000

/** Assigns every job that names none of [dataCentres] to the one with the fewest accelerator-ms so far. */
internal fun assignDataCentres(
    dataCentres: List<DataCentre>,
    jobs: List<StreamJob>,
): List<StreamJob> {
    val assignedAcceleratorMs = dataCentres.associateWithTo(LinkedHashMap()) { 0.0 }
    return jobs.map { job ->
        val chosen =
            job.dataCentre?.takeIf { it in assignedAcceleratorMs } ?: assignedAcceleratorMs.minBy { it.value }.key
        assignedAcceleratorMs.merge(chosen, job.gang.accelerators.toDouble() * job.workMs, Double::plus)
        job.copy(dataCentre = chosen)
    }
}
