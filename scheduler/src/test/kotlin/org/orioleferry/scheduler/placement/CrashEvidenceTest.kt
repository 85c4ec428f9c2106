package org.orioleferry.scheduler.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class CrashEvidenceTest {
    private fun run(
        key: String,
        provenMs: Long = 0,
        group: Any = key,
    ) = CrashedRun(key, group, provenMs)

    private fun causes(vararg runs: CrashedRun<String>): Set<String> = certainCauses(runs.toList(), Long.MAX_VALUE)

    // Guards against a run that has worked for a long time and hides which of the others has crashed the worker.
    @Test
    fun `should name the only run that has not passed its trial`() {
        expectThat(causes(run("a"), run("b", TRIAL_MS), run("c", 60_000))).isEqualTo(setOf("a"))
        expectThat(causes(run("a"), run("b", TRIAL_MS - 1))).isEmpty()
    }

    // Guards against a task that is given up since operators killed the worker on which it had long worked alone.
    @Test
    fun `should name no run when all have passed their trial`() {
        expectThat(causes(run("a", TRIAL_MS))).isEmpty()
    }

    // Guards against a deadly gang that is never found because its members start together.
    @Test
    fun `should count the members of a gang as one`() {
        expectThat(causes(run("a", group = "gang"), run("b", group = "gang"))).isEqualTo(setOf("a", "b"))
        expectThat(causes(run("a", group = "gang"), run("b"))).isEmpty()
    }

    // Guards against an unstable worker that convicts the tasks which it starts after each of its crashes.
    @Test
    fun `should name no run when the worker had begun a short time ago`() {
        expectThat(certainCauses(listOf(run("a")), STABLE_WORKER_MS - 1)).isEmpty()
    }

    // Guards against sound tasks that are given up and against culprits that go on.
    @Test
    fun `should give up a task after crashes that show that it is the cause`() {
        val verdicts =
            listOf(1 to 0, 2 to 0, 4 to 0, 1 to 1, 2 to 1).map { (crashes, certain) -> suspicionOf(crashes, certain) }
        expectThat(verdicts.toSet()).isEqualTo(setOf(Suspicion.SUSPECT))
        val culprits = listOf(2 to 2, 3 to 1, 5 to 0).map { (crashes, certain) -> suspicionOf(crashes, certain) }
        expectThat(culprits.toSet()).isEqualTo(setOf(Suspicion.CULPRIT))
        expectThat(suspicionOf(0, 0)).isEqualTo(Suspicion.NONE)
    }

    // Guards against trials of all long runs of a worker that was killed.
    @Test
    fun `should not suspect a run that had passed its trial by one crash`() {
        expectThat(suspicionOf(1, 0, provenMs = TRIAL_MS)).isEqualTo(Suspicion.NONE)
        expectThat(suspicionOf(2, 0, provenMs = TRIAL_MS)).isEqualTo(Suspicion.SUSPECT)
    }

    // Guards against a suspect that stands still for 3 s next to free resources because no worker is empty.
    @Test
    fun `should place a trial like other work after a bounded wait`() {
        expectThat(trialPlacementOf(0, hasTaskLimit = false)).isEqualTo(TrialPlacement.EMPTY_WORKER)
        expectThat(trialPlacementOf(1_000, hasTaskLimit = false)).isEqualTo(TrialPlacement.FEWEST_RUNS)
        expectThat(trialPlacementOf(5_000, hasTaskLimit = false)).isEqualTo(TrialPlacement.FEWEST_RUNS)
        expectThat(trialPlacementOf(6_000, hasTaskLimit = false)).isEqualTo(TrialPlacement.NONE)
        expectThat(trialPlacementOf(1_000, hasTaskLimit = true)).isEqualTo(TrialPlacement.EMPTY_WORKER)
        expectThat(trialPlacementOf(2_000, hasTaskLimit = true)).isEqualTo(TrialPlacement.NONE)
    }
}
