package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.callers.SubmitResult
import org.orioleferry.scheduler.model.JobSpec
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class OpenWorkTest {
    private fun specOf(
        id: String,
        workspace: String,
        tasks: Int,
    ) = JobSpec(id, "routine", "pool", workspace, "", listOf(StepSpec(tasks, SimulatedCluster.ONE_ACCELERATOR, 60_000)))

    // Guards against a workspace that fills the owner's memory with open work, and against a refusal of a job that an
    // earlier call has stored.
    @Test
    fun `should refuse further jobs of a workspace with too much open work at every instance`() =
        runTest {
            val cluster = SimulatedCluster(this) { _, _ -> Outcome(60_000) }
            val one = cluster.Instance("one").also { it.start() }
            val two = cluster.Instance("two").also { it.start() }
            delay(1_000)
            repeat(9) { one.jobApi.submit(specOf("flood-$it", "flood", 2_000), 2_000) }
            delay(3_000)
            listOf(one, two).forEach { instance ->
                val api = instance.jobApi
                expectThat(api.submit(specOf("more", "flood", 1), 2_000)).isEqualTo(SubmitResult.TooMuchOpenWork)
                expectThat(api.submit(specOf("flood-0", "flood", 2_000), 2_000)).isEqualTo(SubmitResult.Accepted(true))
                expectThat(api.submit(specOf("a-${instance.name}", "team", 1), 2_000))
                    .isEqualTo(SubmitResult.Accepted(false))
            }
            repeat(9) { one.jobApi.cancel("flood-$it", "flood", 2_000) }
            delay(3_000)
            expectThat(two.jobApi.submit(specOf("more", "flood", 1), 2_000)).isEqualTo(SubmitResult.Accepted(false))
        }
}
