package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobSpec
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.model.Workspace
import org.orioleferry.scheduler.simulation.Outcome
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.workers.RunEnding
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Tasks that last use guaranteed accelerators only while these are idle, and are stopped no further than their job allows. */
class LastingVictimsTest {
    // Guards against urgent work within its guarantee that never begins because tasks of another workspace that last hold
    // the accelerators (GuaranteeBehindLasting of the independent review).
    @Test
    fun `should reclaim guaranteed accelerators from lasting tasks and start them again afterwards`() =
        runTest {
            val (cluster, one) = startLastingTasks(owner = "other", maxUnavailable = 0)
            cluster.submit(one, "a", "urgent", StepSpec(4, SimulatedCluster.ONE_ACCELERATOR, URGENT_MS))
            delay(RECLAIM_MS)
            expectThat(cluster.records.runsOf("a")).hasSize(4)
            delay(10_000)
            expectThat(cluster.stateOf(one, "a")).isEqualTo(JobState.COMPLETED)
            expectThat(cluster.records.runsOf("serve").filter { it.endedMs == null }).hasSize(WIDTH)
            expectThat(cluster.records.violations).isEmpty()
        }

    // Guards against more lasting tasks of a step that are stopped at a time than its job allows.
    @Test
    fun `should stop no more lasting tasks of a step than may be unavailable`() =
        runTest {
            val (cluster, one) = startLastingTasks(owner = "other", maxUnavailable = 2)
            repeat(
                3,
            ) { cluster.submit(one, "a$it", "urgent", StepSpec(2, SimulatedCluster.ONE_ACCELERATOR, URGENT_MS)) }
            repeat(120) {
                delay(50)
                val present = cluster.records.runsOf("serve").count { it.endedMs == null }
                expectThat(present >= WIDTH - 2).isEqualTo(true)
            }
            expectThat(cluster.records.runsOf("serve").filter { it.ending == RunEnding.STOPPED }).hasSize(2)
            delay(20_000)
            expectThat((0..2).map { cluster.stateOf(one, "a$it") }).isEqualTo(List(3) { JobState.COMPLETED })
        }

    // Guards against lasting tasks that are stopped for urgent work beyond any guarantee.
    @Test
    fun `should not stop lasting tasks for urgent work beyond the guarantee`() =
        runTest {
            val (cluster, one) = startLastingTasks(owner = "team", maxUnavailable = 0)
            one.jobApi.submit(
                jobOf(cluster, "a", "urgent", "other", StepSpec(1, SimulatedCluster.ONE_ACCELERATOR)),
                2_000,
            )
            delay(10_000)
            expectThat(cluster.records.runsOf("serve").filter { it.endedMs == null }).hasSize(WIDTH)
        }

    private suspend fun TestScope.startLastingTasks(
        owner: String,
        maxUnavailable: Int,
    ): Pair<SimulatedCluster, SimulatedCluster.Instance> {
        val cluster =
            SimulatedCluster(this, workers = 1) { task, _ ->
                if (task.job == "serve") Outcome(10_000_000, startupMs = 300) else Outcome(URGENT_MS)
            }
        val workspaces = listOf(Workspace("team", setOf("key"), 8), Workspace("other", setOf("other"), 0))
        cluster.manifest = cluster.manifest.copy(workspaces = workspaces)
        val one = cluster.Instance("one").also { it.start() }
        delay(500)
        val step =
            StepSpec(
                WIDTH,
                SimulatedCluster.ONE_ACCELERATOR,
                60_000,
                isLasting = true,
                maxUnavailable = maxUnavailable,
            )
        one.jobApi.submit(jobOf(cluster, "serve", "routine", owner, step), 2_000)
        delay(5_000)
        expectThat(cluster.records.runsOf("serve")).hasSize(WIDTH)
        return cluster to one
    }

    private fun jobOf(
        cluster: SimulatedCluster,
        id: String,
        queue: String,
        workspace: String,
        step: StepSpec,
    ) = JobSpec(id, queue, "pool", workspace, "payload", listOf(step), policy = cluster.manifest.queue(queue)?.policy)

    private companion object {
        const val WIDTH = 8
        const val URGENT_MS = 2_000L

        // The shorter one of the limits of the deployments.
        const val RECLAIM_MS = 2_700L
    }
}
