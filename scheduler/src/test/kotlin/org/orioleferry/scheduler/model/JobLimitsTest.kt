package org.orioleferry.scheduler.model

import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.store.Rows
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class JobLimitsTest {
    private val limits = JobLimits(ROW_BYTES)

    private fun job(
        step: StepSpec,
        schedule: JobSchedule? = null,
    ) = JobSpec("a", "routine", "pool", "team", "", listOf(step), schedule)

    private fun step(count: Int) = StepSpec(count, Resources(1_000, 1_000, 1), 1_000, savesProgress = true)

    // Guards against a limit that refuses the widest jobs of the deployments: three steps of 160 tasks.
    @Test
    fun `should accept three steps of 160 tasks and begin all of them`() {
        val spec = job(step(160)).copy(steps = listOf(step(160), step(160), step(160)))
        expectThat(limits.violationOf(spec)).isNull()
        expectThat(limits.begunTasksOf(spec)).isGreaterThanOrEqualTo(480)
    }

    @Test
    fun `should refuse a gang whose members cannot all be begun`() {
        expectThat(limits.violationOf(job(step(64).copy(isGang = true)))).isNull()
        expectThat(limits.violationOf(job(step(2_000).copy(isGang = true)))).isNotNull()
        expectThat(limits.violationOf(job(step(2_000)))).isNull()
    }

    // Guards against an estimate of the row's size that is too low: the store rejects the row for good.
    @Test
    fun `should keep the progress of a job at its bounds within the row`() {
        val spec = job(step(700), JobSchedule(1_700_000_000_000, 1, 400))
        val open = limits.openOccurrencesOf(spec)
        var begunLeft = limits.begunTasksOf(spec)
        var trackedLeft = JobLimits.MAX_TRACKED_TASKS
        val finished = List(400 - open) { StepProgress(it, -1, isDone = true) }
        val steps =
            List(open) { occurrence ->
                val begun = (0 until minOf(begunLeft, 700)).also { begunLeft -= it.count() }
                val tracked = begun.take(trackedLeft).toSet().also { trackedLeft -= it.size }
                StepProgress(
                    occurrence = 400 - open + occurrence,
                    step = 0,
                    done = (begun.count() until 700).toList(),
                    failures = begun.associateWith { listOf(100, 101, 102) },
                    checkpoints = begun.associateWith { "0".repeat(32) },
                    started =
                        begun.associateWith {
                            StartedRun(103, "w".repeat(24), if (it in tracked) 1_700_000_000_000 else 0)
                        },
                    crashes = tracked.associateWith { listOf(100, 101, 102) },
                    certainCrashes = tracked.associateWith { listOf(103) },
                )
            }
        val value = Rows.encode(JobProgress(JobState.RUNNING, finished + steps, workspace = "team"))
        expectThat(limits.violationOf(spec)).isNull()
        expectThat(value.length).isLessThanOrEqualTo(ROW_BYTES)
    }

    private companion object {
        const val ROW_BYTES = 65_536
    }
}
