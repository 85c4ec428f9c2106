package org.orioleferry.daemon.requests

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.core.api.RequestBody
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.Workspace
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan

@OptIn(ExperimentalCoroutinesApi::class)
class SharingAcrossInstancesTest {
    private val restock = JobClassName("restock")

    // Guards against a flood at two instances that takes the floor share of a class whose requests arrive at a third.
    @Test
    fun `a flood at two instances should leave a class at a third one its floor share`() {
        val exchanging = shareOfGrades(exchangesLoads = true)
        val alone = shareOfGrades(exchangesLoads = false)
        println("measured: floor 0.4, slot time of the class with the exchange of loads $exchanging, without $alone")
        expectThat(exchanging).isGreaterThanOrEqualTo(0.4 * 0.95)
        // Without the exchange the slots are divided by the number of instances and not by class.
        expectThat(alone).isLessThan(0.4 * 0.95)
    }

    /** Share of the slot time from 10 s to 40 s that requests of the class with the floor get. */
    private fun shareOfGrades(exchangesLoads: Boolean): Double {
        var share = 0.0
        runTest {
            val classes =
                listOf(JobClass(restock, urgency = 0, weight = 8), JobClass(GRADE, 9, weight = 1, floorShare = 0.4))
            val configuration = Configuration(1, mapOf(SHEDS to Workspace(SHEDS)), classes.associateBy { it.name })
            val simulation = RequestSimulation(this, workerCount = 4, configuration = configuration)
            simulation.exchangesLoads = exchangesLoads
            listOf("e1", "e2").forEach {
                load(simulation.startInstance(it), 150) { RequestBody(SHEDS, "c$it", restock, "r") }
            }
            load(simulation.startInstance("e3"), 60) { gradeRequest("g") }
            delay(40_000)
            val slotMs =
                simulation.executions().groupBy({ it.key == "r" }) { run ->
                    ((run.endedMs ?: 40_000) - maxOf(run.startedMs, 10_000)).coerceAtLeast(0)
                }
            share = slotMs.getValue(false).sum() / (4 * 8 * 30_000.0)
        }
        return share
    }

    private fun TestScope.load(
        instance: TestInstance,
        callers: Int,
        body: (Int) -> RequestBody,
    ) = repeat(callers) {
        backgroundScope.launch {
            while (true) {
                instance.call(body(it).copy(caller = "caller-$it", workMs = 200)).join()
                delay(20)
            }
        }
    }
}
