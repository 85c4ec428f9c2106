package org.orioleferry.coordination.membership

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.core.ManualClock
import org.orioleferry.platform.ListedInstance
import org.orioleferry.platform.ReadResult
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class InstanceListWatcherTest {
    private val clock = ManualClock()
    private val entries = List(980) { ListedInstance("w$it", ListedInstance.KIND_WORKER, "solin", address = "x") }
    private val watcher = InstanceListWatcher({ ReadResult.Found(entries) }, Random(1), clock)

    // Guards against instances that start together and, since the list lags, find each other only after minutes.
    @Test
    fun `should poll a long list at the shortest period after the start`() =
        runTest {
            repeat(10) { expectThat(watcher.readOnce()).isLessThanOrEqualTo(2_000) }
        }

    // Guards against reads of a long list that exceed the traffic limit in steady state.
    @Test
    fun `should poll a long list less often after the startup phase`() =
        runTest {
            watcher.readOnce()
            clock.advance(30_000)
            expectThat(watcher.readOnce()).isGreaterThan(200_000)
        }
}
