package org.orioleferry.scheduler.placement

import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.Resources
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class TrialPlacementTest {
    private val one = Resources(4_000, 16_000, 1)

    private fun worker(
        id: String,
        runs: Int = 0,
        isInTrial: Boolean = false,
        isNew: Boolean = false,
        unproven: Int = 0,
    ) = WorkerResources(
        id,
        "pool",
        "r0",
        setOf("a"),
        one * 8,
        one * (8 - runs),
        runCount = runs,
        isInTrial = isInTrial,
        isNew = isNew,
        unprovenRunCount = unproven,
    )

    private fun demand(
        key: String,
        trial: TrialPlacement,
        width: Int = 1,
        rank: Int = 2,
    ) = Demand(key, "pool", rank, QueuePosition(1.0, 0), one, width, trial = trial)

    private fun place(
        workers: List<WorkerResources>,
        vararg demands: Demand<String>,
    ): Map<String, List<String>> {
        val victims = emptyList<Victim<String>>()
        return Planner().plan(workers, demands.toList(), victims).placed.associate { it.demand.key to it.workers }
    }

    // Guards against suspects that crash a worker with other work, and two of them that hide each other.
    @Test
    fun `should place each trial on an empty worker of its own`() {
        val workers = listOf(worker("w0", runs = 2), worker("w1"), worker("w2"))
        val trials = List(3) { demand("t$it", TrialPlacement.EMPTY_WORKER) }
        expectThat(place(workers, *trials.toTypedArray()))
            .isEqualTo(mapOf("t0" to listOf("w1"), "t1" to listOf("w2")))
    }

    // Guards against work that starts beside a trial and is a candidate for its crash.
    @Test
    fun `should start nothing beside a trial`() {
        val workers = listOf(worker("w0", runs = 1, isInTrial = true), worker("w1"))
        val trial = demand("t", TrialPlacement.EMPTY_WORKER, rank = 0)
        expectThat(place(workers, trial, demand("other", TrialPlacement.NONE, width = 4)))
            .isEqualTo(mapOf("t" to listOf("w1")))
    }

    // Guards against a crash that tells nothing, as runs that had just started are candidates as well (BUDGET on
    // omotnica-split with many deadly tasks, seed 98).
    @Test
    fun `should prefer a worker whose runs have worked for some time`() {
        val workers = listOf(worker("w0", runs = 2, unproven = 1), worker("w1", runs = 4))
        expectThat(place(workers, demand("t", TrialPlacement.FEWEST_RUNS))).isEqualTo(mapOf("t" to listOf("w1")))
        val other = demand("other", TrialPlacement.NONE, rank = 0)
        val equal = listOf(worker("w0", runs = 2), worker("w1", runs = 2))
        expectThat(place(equal, other, demand("t", TrialPlacement.FEWEST_RUNS)))
            .isEqualTo(mapOf("other" to listOf("w0"), "t" to listOf("w1")))
    }

    // Guards against a trial on a worker that may crash by itself, so that the crash tells nothing.
    @Test
    fun `should not use a new worker while an empty one is waited for`() {
        expectThat(place(listOf(worker("w0", isNew = true)), demand("t", TrialPlacement.EMPTY_WORKER))).isEmpty()
    }

    // Guards against a suspect that waits forever for an empty worker, and one on a worker that may crash by itself.
    @Test
    fun `should fall back to the worker with the fewest runs that is not new`() {
        val workers = listOf(worker("w0", runs = 3), worker("w1", runs = 2), worker("w2", isNew = true))
        expectThat(place(workers, demand("t", TrialPlacement.FEWEST_RUNS))).isEqualTo(mapOf("t" to listOf("w1")))
        val busy = listOf(worker("w0", runs = 3), worker("w1", runs = 2))
        expectThat(place(busy, demand("t", TrialPlacement.EMPTY_WORKER))).isEmpty()
    }
}
