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
    // Guards against a credit that is counted again when the clerk repeats the call through another instance.
    @Test
    fun `a repeat through another instance should get the recorded answer`() =
        runTest {
            val world = RequestWorld(this)
            val first = world.instance("e1").call(credit("k1")).await()
            val second = world.instance("e2").call(credit("k1")).await()
            expectThat(second.answer).isEqualTo(first.answer)
            expectThat(world.executions()).hasSize(1)
            expectThat(world.checker.finish()).isEmpty()
        }

    // Guards against both of two simultaneous repeats passing the comparison of the intent row.
    @Test
    fun `two repeats at the same moment on two instances should run once`() =
        runTest {
            val world = RequestWorld(this)
            val calls = listOf("e1", "e2", "e1b").map { world.instance(it).call(credit("k1")) }
            val same = world.instance("e3")
            val answers = (calls + List(3) { same.call(credit("k1")) }).map { it.await().answer.requestId }
            expectThat(answers.toSet()).hasSize(1)
            expectThat(world.executions()).hasSize(1)
        }

    // Guards against a key that silently takes the answer of another request.
    @Test
    fun `a key with another body should be refused`() =
        runTest {
            val world = RequestWorld(this)
            val instance = world.instance()
            instance.call(credit("k1")).await()
            val reused = instance.call(credit("k1", payload = "other")).await()
            expectThat(reused.failure.code).isEqualTo(FailureCode.KEY_REUSED)
        }

    // Guards against work that needs a record being run without one, and against other work being refused with it.
    @Test
    fun `an outage of the store should refuse recorded requests only`() =
        runTest {
            val world = RequestWorld(this)
            world.storeFault = { StoreFault.DOWN }
            val instance = world.instance()
            val refused = instance.call(credit("k1")).await()
            expectThat(refused.failure.code).isEqualTo(FailureCode.STORE_UNAVAILABLE)
            expectThat(refused.failure.isNotRun).isTrue()
            expectThat(refused.failure.details["scope"]).isEqualTo(KeyFilter.SCOPE_CALL)
            instance.call(grade("g1")).await().answer
            expectThat(world.executions()).hasSize(1).get { first().key }.isEqualTo(null)
        }

    // Guards against requests that are cut or refused as maybe run while the instance shuts down.
    @Test
    fun `a drain should end requests in progress and refuse new ones as not run`() =
        runTest {
            val world = RequestWorld(this)
            val instance = world.instance()
            val slow = listOf(instance.call(credit("k1", workMs = 3_000)), instance.call(grade("g1", workMs = 3_000)))
            delay(10)
            val drain = async { instance.service.drain() }
            delay(1_500)
            val refused = instance.call(credit("k2")).await().failure
            expectThat(refused.code).isEqualTo(FailureCode.DRAINING)
            expectThat(refused.isNotRun).isTrue()
            slow.forEach { it.await().answer }
            drain.await()
            expectThat(world.checker.finish()).isEmpty()
        }
}
