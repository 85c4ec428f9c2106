package org.orioleferry.scheduler.model

import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.store.Rows
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class JobProgressTest {
    // Guards against rows of earlier versions that cannot be read, so that their jobs are set aside.
    @Test
    fun `should read rows without crashes and incarnations`() {
        val started = """{"1":{"attempt":2,"worker":"w"}}"""
        val row = """{"state":"RUNNING","steps":[{"occurrence":0,"step":0,"started":$started}]}"""
        val step = Rows.decodeProgress(row)?.steps?.single()
        expectThat(step).isEqualTo(StepProgress(0, 0, started = mapOf(1 to StartedRun(2, "w", 0))))
    }

    @Test
    fun `should keep crashes and incarnations in the row`() {
        val step =
            StepProgress(
                0,
                0,
                started = mapOf(1 to StartedRun(3, "w", 1_700_000_000_000)),
                crashes = mapOf(1 to listOf(1)),
                certainCrashes = mapOf(1 to listOf(2)),
            )
        val progress = JobProgress(JobState.RUNNING, listOf(step))
        expectThat(Rows.decodeProgress(Rows.encode(progress))).isEqualTo(progress)
    }
}
