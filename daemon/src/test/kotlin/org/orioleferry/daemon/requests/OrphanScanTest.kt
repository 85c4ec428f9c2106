package org.orioleferry.daemon.requests

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.core.model.InstanceId
import org.orioleferry.platform.TableOperation
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

class OrphanScanTest {
    // Guards against a scan that reads the whole table continuously, which took 84 KB/s per instance with 200 rows.
    @Test
    fun `should read little while the live instances do not change`() =
        runTest {
            val simulation = RequestSimulation(this)
            fill(simulation, ROWS)
            simulation.startInstance()
            delay(PASSES_MS)
            val before = simulation.store.reads
            delay(600_000)
            expectThat(simulation.store.reads - before).isLessThanOrEqualTo(IDLE_READS)
        }

    // Guards against orphaned rows of an instance that ends after the first passes.
    @Test
    fun `should scan the whole table when an instance ends`() =
        runTest {
            val simulation = RequestSimulation(this)
            fill(simulation, ROWS)
            simulation.startInstance()
            simulation.live += InstanceId("e2")
            delay(PASSES_MS)
            val before = simulation.store.reads
            simulation.live -= InstanceId("e2")
            delay(PASSES_MS)
            expectThat(simulation.store.reads - before).isGreaterThan(ROWS / PAGE_ROWS)
        }

    private suspend fun fill(
        simulation: RequestSimulation,
        rows: Int,
    ) {
        repeat(rows) { simulation.store.commit(listOf(TableOperation(RequestRecord.TABLE, "sheds/k$it", 0, "{}"))) }
    }

    private companion object {
        const val ROWS = 2_000
        const val PAGE_ROWS = 200L
        const val PASSES_MS = 60_000L
        const val IDLE_READS = 12L
    }
}
