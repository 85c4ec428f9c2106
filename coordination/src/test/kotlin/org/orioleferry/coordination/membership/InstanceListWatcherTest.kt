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

    // Guards against instances that start together and find each other only after minutes, since the list lagged.
    @Test
    fun `should read a long list often after the start`() =
        runTest {
            repeat(10) { expectThat(watcher.step()).isLessThanOrEqualTo(2_000) }
        }

    // Guards against reads of a long list that exceed the traffic limit in steady state.
    @Test
    fun `should read a long list seldom later`() =
        runTest {
            watcher.step()
            clock.advance(30_000)
            expectThat(watcher.step()).isGreaterThan(200_000)
        }
}
