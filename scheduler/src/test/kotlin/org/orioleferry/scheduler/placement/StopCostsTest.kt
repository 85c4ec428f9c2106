package org.orioleferry.scheduler.placement

import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.ShortageSettings
import org.orioleferry.scheduler.model.Resources
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class StopCostsTest {
    private val costs = StopCosts(maxStopMs = 400, ShortageSettings(restoreMs = 250, reclaimMs = 2_900))

    private fun run(
        elapsedMs: Long,
        savesProgress: Boolean = false,
        preemptions: Int = 0,
    ) = StopCost(savesProgress, isLasting = false, elapsedMs, sinceCheckpointMs = elapsedMs, preemptions)

    // Guards against stopping work that is lost while runs beside it save theirs: with a checkpoint every two seconds, the
    // time since the last listed one made both look alike.
    @Test
    fun `should count only the restart of a run that saves progress when it is stopped`() {
        expectThat(costs.lostMs(run(elapsedMs = 5_000, savesProgress = true))).isEqualTo(650)
        expectThat(costs.lostMs(run(elapsedMs = 5_000))).isEqualTo(5_600)
        expectThat(
            costs.lostMs(run(elapsedMs = 10, savesProgress = true)),
        ).isLessThan(costs.lostMs(run(elapsedMs = 200)))
    }

    // Guards against a task that is stopped for each urgent job of a burst and so never ends.
    @Test
    fun `should count each earlier stop of a task once more`() {
        expectThat(costs.lostMs(run(elapsedMs = 400, preemptions = 2))).isEqualTo(3_000)
        expectThat(costs.lostMs(run(elapsedMs = 400, savesProgress = true, preemptions = 2))).isEqualTo(1_950)
    }

    // Guards against a change for deployments whose figures do not call for decisions by cost.
    @Test
    fun `should count the time since the last listed checkpoint without figures on restarts`() {
        val earlier = StopCosts(maxStopMs = 400, shortage = null)
        expectThat(earlier.lostMs(run(elapsedMs = 5_000, savesProgress = true, preemptions = 3))).isEqualTo(5_600)
    }

    // Guards against lasting tasks among the first that are stopped, since they save nothing and have no end.
    @Test
    fun `should count a lasting run as more than any other`() {
        val lasting = StopCost(savesProgress = true, isLasting = true, elapsedMs = 10, sinceCheckpointMs = 10)
        expectThat(costs.lostMs(lasting)).isGreaterThan(costs.lostMs(run(elapsedMs = 50_000)))
    }

    @Test
    fun `should weigh an accelerator like eight cores`() {
        expectThat(Resources(cpuMillis = 15_000, memoryMb = 0, accelerators = 2).weightedCores).isEqualTo(31)
    }
}
