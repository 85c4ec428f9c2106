package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.callers.SubmitResult
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.simulation.WriteFault
import org.orioleferry.scheduler.workers.RunEnding
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty
import kotlin.random.Random

class RandomFaultsTest {
    /** Runs jobs under random faults and returns the violations and the accepted jobs that did not complete. */
    private suspend fun TestScope.runWithFaults(
        seed: Int,
        prepare: (SimulatedCluster) -> Unit = {},
    ): List<String> {
        val random = Random(seed)
        val outcomes = Random(seed + 1_000)
        val cluster =
            SimulatedCluster(this, workers = 5) { _, attempt ->
                val ending = if (attempt < 3 && outcomes.nextInt(20) == 0) RunEnding.FAILED else RunEnding.DONE
                Outcome(outcomes.nextLong(100, 4_000), ending)
            }
        prepare(cluster)
        val instances = List(3) { cluster.Instance("i$it") }
        instances.forEach { it.start() }
        delay(1_000)
        val accepted = ArrayList<String>()
        repeat(STEPS) { at ->
            val id = "job-$at"
            val steps =
                arrayOf(
                    StepSpec(
                        random.nextInt(1, 8),
                        SimulatedCluster.ONE_ACCELERATOR,
                        2_000,
                        isGang = random.nextInt(3) == 0,
                    ),
                    StepSpec(2, SimulatedCluster.ONE_ACCELERATOR, 500, after = listOf(0)),
                )
            val queue = if (random.nextInt(3) == 0) "urgent" else "routine"
            if (cluster.submit(instances.random(random), id, queue, *steps) is SubmitResult.Accepted) accepted += id
            cluster.injectFault(instances, random)
            delay(random.nextLong(200, 1_500))
        }
        cluster.endFaults(instances)
        delay(RECOVERY_MS)
        val open = accepted.filter { cluster.stateOf(instances[0], it) != JobState.COMPLETED }
        return cluster.records.violations + open.map { "$it is ${cluster.stateOf(instances[0], it)}" }
    }

    private fun SimulatedCluster.injectFault(
        instances: List<SimulatedCluster.Instance>,
        random: Random,
    ) {
        val instance = instances.random(random)
        val worker = workers.values.random(random)
        when (random.nextInt(9)) {
            0 -> instance.kill()
            1 -> instance.start()
            2 -> instance.store.isUnavailable = !instance.store.isUnavailable
            3 -> instance.store.nextWrite = { WriteFault.entries[random.nextInt(4)] }
            4 -> instance.store.nextWrite = { WriteFault.NONE }
            5 -> worker.isReachable = !worker.isReachable
            6 -> worker.startAnswersToDrop = 3
            7 -> worker.crash()
            8 -> instance.link.isPartitioned = !instance.link.isPartitioned
        }
    }

    private fun SimulatedCluster.endFaults(instances: List<SimulatedCluster.Instance>) {
        instances.forEach { instance ->
            instance.store.isUnavailable = false
            instance.store.nextWrite = { WriteFault.NONE }
            instance.link.isPartitioned = false
            instance.kill()
            instance.start()
        }
        workers.values.forEach {
            it.isReachable = true
            it.startAnswersToDrop = 0
        }
    }

    // Guards against duplicate runs, lost jobs and violated step order under overlapping faults; each seed gives
    // another sequence of faults.
    @Test
    fun `should violate no invariant under random faults`() {
        val violations = ArrayList<String>()
        (1..SEEDS).forEach { seed -> runTest { violations += runWithFaults(seed).map { "seed $seed: $it" } } }
        expectThat(violations).isEmpty()
    }

    // Verifies that the checks detect a missing mechanism: without write conditions two owners act at the same time.
    @Test
    fun `should detect violations under random faults without compare-and-set`() {
        val violations = ArrayList<String>()
        (1..SEEDS).forEach { seed ->
            runTest { violations += runWithFaults(seed) { cluster -> cluster.rows.ignoresConditions = true } }
        }
        expectThat(violations).isNotEmpty()
    }

    private companion object {
        const val SEEDS = 30
        const val STEPS = 25

        // Time for a takeover, the expiry of leases at unreachable workers, and the remaining work.
        const val RECOVERY_MS = 60_000L
    }
}
