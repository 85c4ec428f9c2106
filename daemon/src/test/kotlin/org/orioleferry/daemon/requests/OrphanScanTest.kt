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
    // Guards against a scan that reads the whole table for ever, which took 84 KB/s an instance with 200 rows.
    @Test
    fun `should read little while no instance comes or goes`() =
        runTest {
            val world = RequestWorld(this)
            fill(world, ROWS)
            world.instance()
            delay(PASSES_MS)
            val before = world.store.reads
            delay(600_000)
            expectThat(world.store.reads - before).isLessThanOrEqualTo(IDLE_READS)
        }

    // Guards against rows of an instance that ends later, which nobody would look for.
    @Test
    fun `should pass the whole table when an instance ends`() =
        runTest {
            val world = RequestWorld(this)
            fill(world, ROWS)
            world.instance()
            world.live += InstanceId("e2")
            delay(PASSES_MS)
            val before = world.store.reads
            world.live -= InstanceId("e2")
            delay(PASSES_MS)
            expectThat(world.store.reads - before).isGreaterThan(ROWS / PAGE_ROWS)
        }

    private suspend fun fill(
        world: RequestWorld,
        rows: Int,
    ) {
        repeat(rows) { world.store.commit(listOf(TableOperation(RequestRecord.TABLE, "sheds/k$it", 0, "{}"))) }
    }

    private companion object {
        const val ROWS = 2_000
        const val PAGE_ROWS = 200L
        const val PASSES_MS = 60_000L
        const val IDLE_READS = 12L
    }
}
