package org.orioleferry.scheduler

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.AcceptedJob
import org.orioleferry.scheduler.model.JobProgress
import org.orioleferry.scheduler.model.JobSpec
import org.orioleferry.scheduler.model.JobState
import org.orioleferry.scheduler.model.StepSpec
import org.orioleferry.scheduler.owner.DataCentreEvacuations
import org.orioleferry.scheduler.owner.JobRegistry
import org.orioleferry.scheduler.owner.OwnerDependencies
import org.orioleferry.scheduler.owner.Ownership
import org.orioleferry.scheduler.owner.ProgressWriter
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.simulation.SimulatedRows
import org.orioleferry.scheduler.simulation.SimulatedStore
import org.orioleferry.scheduler.simulation.VirtualClock
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.RowWrite
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.store.ScanResult
import org.orioleferry.scheduler.store.StoreHealth
import org.orioleferry.scheduler.store.scanAll
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class PurgedJobTest {
    // Guards against an ended job that runs again: a read of the whole table, begun before the owner removed the job's rows,
    // showed its acceptance, and its progress was gone.
    @Test
    fun `should not take up a removed job from a read that began before the removal`() =
        runTest {
            val clock = VirtualClock(this)
            val log = DecisionLog { _, _, _ -> }
            val rows = SimulatedRows().also { it.nowMs = clock::monotonicMs }
            val store = SimulatedStore(rows, StoreHealth("one", clock, log))
            val settings = SchedulerSettings("one", "dc")
            val evacuations = DataCentreEvacuations(clock, settings, log)
            val dependencies =
                OwnerDependencies(
                    store,
                    SimulatedCluster(this).Instance("one").link,
                    { error("no directory") },
                    { null },
                    clock,
                    settings,
                    log,
                    evacuations,
                )
            val ownership = Ownership(1, 0, clock, settings, clock.now())
            val registry = JobRegistry(dependencies, ProgressWriter(store, ownership, log), ownership)
            val steps = listOf(StepSpec(1, SimulatedCluster.ONE_ACCELERATOR))
            val accepted = AcceptedJob(JobSpec("a", "routine", "pool", "team", "", steps), clock.wallMs())
            val ended = JobProgress(JobState.COMPLETED, endedMs = clock.wallMs(), workspace = "team")
            rows.apply(RowTransaction(writes = listOf(RowWrite(Rows.job("a"), Rows.encode(accepted)))))
            rows.apply(RowTransaction(writes = listOf(RowWrite(Rows.progress("a"), Rows.encode(ended)))))
            val read = (store.scanAll(Rows.JOBS, Rows.job("a").part) as ScanResult.Rows).rows
            val progress = (store.scanAll(Rows.PROGRESS, Rows.OWNER_PART) as ScanResult.Rows).rows
            registry.load(read, progress)
            expectThat(registry["a"]).isNotNull()

            delay(settings.statusRetentionMs + 60_000)
            registry.purge()
            expectThat(registry["a"]).isNull()
            read.forEach { registry.apply(it) }
            expectThat(registry.activeJobs).isEmpty()

            // A caller may hand the same id in once more after its state is forgotten.
            rows.apply(RowTransaction(writes = listOf(RowWrite(Rows.job("a"), Rows.encode(accepted)))))
            (store.scanAll(Rows.JOBS, Rows.job("a").part) as ScanResult.Rows).rows.forEach { registry.apply(it) }
            expectThat(registry.activeJobs).hasSize(1)
        }
}
