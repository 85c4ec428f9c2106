package org.orioleferry.scheduler.placement

import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.ShortageSettings
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** The load behind these tests: a burst of urgent gangs on a full service, where each stop discards others' work. */
class DelayCostTest {
    private val shortage = ShortageSettings(restoreMs = 250, reclaimMs = 2_900)

    private val step =
        WaitingStep(
            nowMs = NOW_MS,
            dueMs = NOW_MS + 4_000,
            valueExpiryMs = NOW_MS + 12_000,
            remainingMs = 2_500,
            sinceAcceptedMs = 0,
            workCoreMs = 1_000_000,
            meanWorkCoreMs = 1_000_000,
            isGuaranteed = false,
        )

    private fun budgetOf(step: WaitingStep) = preemptionBudgetCoreMs(step, maxStopMs = 400, shortage)

    // Guards against the stop of a hundred runs for one small step.
    @Test
    fun `should stop others only for a small multiple of the work of the step`() {
        expectThat(budgetOf(step)).isEqualTo(4_000_000)
    }

    // Guards against small steps that never find work cheap enough to stop: a part of a job's value is independent of its
    // work.
    @Test
    fun `should count the work of a small step as a quarter of the mean`() {
        expectThat(budgetOf(step.copy(workCoreMs = 10_000))).isEqualTo(1_000_000)
    }

    // Guards against work that is discarded although the step is late all the same.
    @Test
    fun `should stop nothing for a step that ends late in any case`() {
        val late = step.copy(dueMs = NOW_MS + 1_000)
        expectThat(budgetOf(late)).isEqualTo(0)
    }

    // Guards against a late step that waits until its completion has no value any more.
    @Test
    fun `should stop others for a late step whose value is about to expire`() {
        val expiring = step.copy(dueMs = NOW_MS - 8_000, valueExpiryMs = NOW_MS + 2_500, sinceAcceptedMs = 20_000)
        expectThat(budgetOf(expiring)).isEqualTo(1_000_000)
        expectThat(budgetOf(expiring.copy(valueExpiryMs = NOW_MS + 1_000))).isEqualTo(0)
    }

    // Guards against guaranteed work that begins later than its workspace may claim.
    @Test
    fun `should stop whatever is needed for guaranteed work that has to begin`() {
        val late = step.copy(isGuaranteed = true, dueMs = NOW_MS - 1, sinceAcceptedMs = 1_500)
        expectThat(budgetOf(late)).isEqualTo(Long.MAX_VALUE)
        expectThat(budgetOf(late.copy(sinceAcceptedMs = 1_499))).isEqualTo(0)
        expectThat(budgetOf(late.copy(isGuaranteed = false))).isEqualTo(0)
    }

    // Guards against a late step that may stop nothing and waits for good, since other work takes each slot that frees.
    @Test
    fun `should stop others again for a step that has waited for twice its objective`() {
        val waiting = step.copy(dueMs = NOW_MS - 6_000, valueExpiryMs = NOW_MS + 6_000, sinceAcceptedMs = 12_000)
        expectThat(budgetOf(waiting)).isEqualTo(0)
        expectThat(budgetOf(waiting.copy(dueMs = NOW_MS - 6_001, sinceAcceptedMs = 12_001))).isEqualTo(4_000_000)
    }

    private fun sortedNames(vararg steps: Pair<String, WaitingStep>): List<String> =
        steps
            .sortedBy { (_, step) ->
                queuePositionByDelayCost(
                    queuePositionOf(step.nowMs, step.dueMs, step.valueExpiryMs, step.remainingMs, waitingShare = 1.0),
                    step,
                )
            }.map { it.first }

    // Guards against one wide gang that makes several small ones late: they need less room, and most of their value does
    // not grow with their work.
    @Test
    fun `should start small steps before wide ones that can wait as little`() {
        val small = step.copy(workCoreMs = 100_000, dueMs = step.dueMs + 1)
        expectThat(sortedNames("wide" to step.copy(workCoreMs = 5_000_000), "small" to small))
            .isEqualTo(listOf("small", "wide"))
    }

    // Guards against a late step that takes the room in which another one would end in time.
    @Test
    fun `should start steps that can end in time before late ones of any size`() {
        val late = step.copy(dueMs = NOW_MS + 1_000, workCoreMs = 10_000)
        val worthless = step.copy(dueMs = NOW_MS - 9_000, valueExpiryMs = NOW_MS, workCoreMs = 10_000)
        expectThat(sortedNames("worthless" to worthless, "late" to late, "in time" to step))
            .isEqualTo(listOf("in time", "late", "worthless"))
    }

    // Guards against a wide late step that smaller ones keep from starting for good.
    @Test
    fun `should start a step that has waited for twice its objective before others of its class`() {
        val waited =
            step.copy(
                dueMs = NOW_MS - 5_501,
                valueExpiryMs = NOW_MS + 5_499,
                sinceAcceptedMs = 11_001,
                workCoreMs = 5_000_000,
            )
        val late = step.copy(dueMs = NOW_MS + 1_000, workCoreMs = 10_000)
        expectThat(sortedNames("small" to late, "waited" to waited)).isEqualTo(listOf("waited", "small"))
    }

    private companion object {
        const val NOW_MS = 1_000_000L
    }
}
