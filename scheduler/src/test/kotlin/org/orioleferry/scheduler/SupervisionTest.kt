package org.orioleferry.scheduler

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.owner.Election
import org.orioleferry.scheduler.simulation.SimulatedCluster
import org.orioleferry.scheduler.simulation.SimulatedStore
import org.orioleferry.scheduler.store.StoreHealth
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import strikt.assertions.isTrue

class SupervisionTest {
    // Guards against a part of a process that ends with an unexpected exception or error while the process stays up.
    @Test
    fun `should start an action again after an exception and after an error`() =
        runTest {
            var starts = 0
            val logged = ArrayList<SchedulerEvent>()
            val supervised =
                launch {
                    supervise({ event, _, _ -> logged += event }, "one", "part") {
                        starts++
                        if (starts == 1) error("simulated")
                        if (starts == 2) throw OutOfMemoryError("simulated")
                        awaitCancellation()
                    }
                }
            delay(5_000)
            expectThat(starts).isEqualTo(3)
            expectThat(logged.toList()).isEqualTo(List(2) { SchedulerEvent.INTERNAL_ERROR })
            expectThat(supervised.isCompleted).isFalse()
            supervised.cancel()
        }

    // Guards against an owner whose terms end by an exception and that acquires the lease again each time, so that no
    // other instance can act.
    @Test
    fun `should leave the ownership to another instance when a term ends by an error`() =
        runTest {
            val cluster = SimulatedCluster(this)
            var terms = 0
            val settings = SchedulerSettings("broken", "dc")
            val store = SimulatedStore(cluster.rows, StoreHealth("broken", cluster.clock, SimulatedCluster.NO_LOG))
            val broken =
                Election(store, cluster.clock, settings, SimulatedCluster.NO_LOG) {
                    terms++
                    throw OutOfMemoryError("simulated")
                }
            backgroundScope.launch { broken.run() }
            delay(500)
            val other = cluster.Instance("other").also { it.start() }
            delay(10_000)
            expectThat(other.isOwner).isTrue()
            expectThat(terms).isIn(1..3)
        }
}
