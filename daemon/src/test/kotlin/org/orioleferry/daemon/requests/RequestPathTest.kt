package org.orioleferry.daemon.requests

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.core.FailureCode
import org.orioleferry.standins.StoreFault
import strikt.api.expectThat
import strikt.assertions.get
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class RequestPathTest {
    // Guards against a second run when the caller repeats a request through another instance.
    @Test
    fun `a repeat through another instance should get the recorded answer`() =
        runTest {
            val simulation = RequestSimulation(this)
            val first = simulation.startInstance("e1").call(creditRequest("k1")).await()
            val second = simulation.startInstance("e2").call(creditRequest("k1")).await()
            expectThat(second.answer).isEqualTo(first.answer)
            expectThat(simulation.executions()).hasSize(1)
            expectThat(simulation.checker.finish()).isEmpty()
        }

    // Guards against two simultaneous repeats that both pass the version comparison of the intent row.
    @Test
    fun `two repeats at the same moment on two instances should run once`() =
        runTest {
            val simulation = RequestSimulation(this)
            val calls = listOf("e1", "e2", "e1b").map { simulation.startInstance(it).call(creditRequest("k1")) }
            val same = simulation.startInstance("e3")
            val answers = (calls + List(3) { same.call(creditRequest("k1")) }).map { it.await().answer.requestId }
            expectThat(answers.toSet()).hasSize(1)
            expectThat(simulation.executions()).hasSize(1)
        }

    // Guards against a reused key that silently gets the answer of another request.
    @Test
    fun `a key with another body should be refused`() =
        runTest {
            val simulation = RequestSimulation(this)
            val instance = simulation.startInstance()
            instance.call(creditRequest("k1")).await()
            val reused = instance.call(creditRequest("k1", payload = "other")).await()
            expectThat(reused.failure.code).isEqualTo(FailureCode.KEY_REUSED)
        }

    // Guards against non-idempotent requests that run without an intent row, and idempotent ones that are refused.
    @Test
    fun `an outage of the store should refuse recorded requests only`() =
        runTest {
            val simulation = RequestSimulation(this)
            simulation.storeFault = { StoreFault.DOWN }
            val instance = simulation.startInstance()
            val refused = instance.call(creditRequest("k1")).await()
            expectThat(refused.failure.code).isEqualTo(FailureCode.STORE_UNAVAILABLE)
            expectThat(refused.failure.isNotRun).isTrue()
            expectThat(refused.failure.details["scope"]).isEqualTo(KeyFilter.SCOPE_CALL)
            instance.call(gradeRequest("g1")).await().answer
            expectThat(simulation.executions()).hasSize(1).get { first().key }.isEqualTo(null)
        }

    // Guards against requests that are aborted or refused with an unknown outcome while the instance shuts down.
    @Test
    fun `a drain should end requests in progress and refuse new ones as not run`() =
        runTest {
            val simulation = RequestSimulation(this)
            val instance = simulation.startInstance()
            val slow =
                listOf(
                    instance.call(creditRequest("k1", workMs = 3_000)),
                    instance.call(gradeRequest("g1", workMs = 3_000)),
                )
            delay(10)
            val drain = async { instance.service.drain() }
            delay(1_500)
            val refused = instance.call(creditRequest("k2")).await().failure
            expectThat(refused.code).isEqualTo(FailureCode.DRAINING)
            expectThat(refused.isNotRun).isTrue()
            slow.forEach { it.await().answer }
            drain.await()
            expectThat(simulation.checker.finish()).isEmpty()
        }
}
