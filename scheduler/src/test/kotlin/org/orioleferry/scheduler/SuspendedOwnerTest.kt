package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import kotlin.random.Random

/** An owner that is suspended for seconds, with checked permissions and orders on their way, and then goes on. */
class SuspendedOwnerTest {
    /** Submits jobs while the owner of the moment is suspended again and again. Returns violations and open jobs. */
    private suspend fun TestScope.runWithPauses(
        seed: Int,
        prepare: (SimulatedCluster) -> Unit = {},
    ): List<String> {
        val random = Random(seed)
        val cluster = SimulatedCluster(this, workers = 4) { _, _ -> Outcome(random.nextLong(200, 3_000)) }
        prepare(cluster)
        val instances = List(3) { cluster.Instance("i$it").also { instance -> instance.start() } }
        delay(1_000)
        val jobs = ArrayList<String>()
        repeat(8) { round ->
            repeat(4) { at ->
                val id = "job-$round-$at"
                jobs += id
                val isGang = random.nextInt(3) == 0
                val first = StepSpec(random.nextInt(1, 8), SimulatedCluster.ONE_ACCELERATOR, 1_500, isGang = isGang)
                val second = StepSpec(1, SimulatedCluster.ONE_ACCELERATOR, 500, after = listOf(0))
                cluster.submit(instances[0], id, if (at == 0) "urgent" else "routine", first, second)
                delay(random.nextLong(1, 120))
            }
            val owner = instances.firstOrNull { it.isOwner } ?: instances[0]
            owner.process.pause()
            delay(random.nextLong(1_000, 8_000))
            owner.process.resume()
            delay(random.nextLong(0, 2_500))
        }
        delay(60_000)
        val open = jobs.filter { cluster.stateOf(instances[0], it) != JobState.COMPLETED }
        return cluster.records.violations + open.map { "$it is not completed" }
    }

    // Guards against orders of a suspended owner that are carried out beside those of its successor.
    @Test
    fun `should run no task twice and lose none while owners are suspended for one to eight seconds`() {
        val violations = ArrayList<String>()
        (1..SEEDS).forEach { seed -> runTest { violations += runWithPauses(seed).map { "seed $seed: $it" } } }
        expectThat(violations).isEmpty()
    }

    // Verifies that the checks detect a missing mechanism: workers that take orders of any owner, and a store that ignores
    // the conditions of writes.
    @Test
    fun `should detect violations while owners are suspended without fencing`() {
        val violations = ArrayList<String>()
        (1..SEEDS).forEach { seed ->
            runTest {
                violations +=
                    runWithPauses(seed) { cluster ->
                        cluster.workers.values.forEach { it.checksTokens = false }
                        cluster.rows.ignoresConditions = true
                    }
            }
        }
        expectThat(violations).isNotEmpty()
    }

    // Guards against an owner that goes on with a permission that has run out while it was suspended between the check and
    // the start.
    @Test
    fun `should refuse the starts of an owner that was suspended while another took over`() =
        runTest {
            val cluster = SimulatedCluster(this) { _, _ -> Outcome(2_000) }
            val one = cluster.Instance("one").also { it.start() }
            delay(500)
            val two = cluster.Instance("two").also { it.start() }
            delay(1_000)
            var isPaused = false
            one.link.onStart = {
                if (!isPaused) {
                    isPaused = true
                    one.process.pause()
                    delay(1)
                }
            }
            cluster.submit(two, "a", "urgent", StepSpec(2, SimulatedCluster.ONE_ACCELERATOR, 2_000))
            delay(4_000)
            expectThat(two.isOwner).isEqualTo(true)
            val before = cluster.records.runs.size
            expectThat(before).isGreaterThan(0)
            one.process.resume()
            delay(100)
            expectThat(one.isOwner).isFalse()
            delay(5_000)
            expectThat(cluster.stateOf(two, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.violations).isEmpty()
        }

    private companion object {
        const val SEEDS = 30
    }
}
