package org.orioleferry.daemon.requests

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.RequestBody
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.DispatchResult
import org.orioleferry.platform.NotRunReason
import org.orioleferry.platform.TableOperation
import org.orioleferry.platform.TableService
import org.orioleferry.platform.WorkerClient
import org.orioleferry.platform.WorkerRequest
import org.orioleferry.standins.AnswerFault
import org.orioleferry.standins.CallFault
import org.orioleferry.standins.StoreFault
import org.orioleferry.standins.WorkerBehaviour
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes

@OptIn(ExperimentalCoroutinesApi::class)
class RandomFaultsTest {
    // Guards properties 3, 4, 5 and 7 against combinations of faults that nobody thought of.
    @Test
    fun `random faults should cause no duplicate, no false not run and no wrong answer`() {
        repeat(
            ROUNDS,
        ) { round -> expectThat(round(RequestWorld.SEED + round) {}).describedAs("round $round").isEmpty() }
        println("measured: $ROUNDS rounds, $executed executions, $unknown answers not known to be not run")
    }

    // The next three show that the test above fails when one protection is off.
    @Test
    fun `without compare-and-set random faults should be found out`() =
        shouldBeFoundOut { tableOf = { BlindWrites(it) } }

    @Test
    fun `without sealing random faults should be found out`() = shouldBeFoundOut { clientOf = ::SealWithoutEffect }

    @Test
    fun `without the doubt about lost answers random faults should be found out`() =
        shouldBeFoundOut { clientOf = { Certain(it) } }

    private var executed = 0
    private var unknown = 0

    private fun shouldBeFoundOut(off: RequestWorld.() -> Unit) {
        expectThat((0 until ROUNDS).flatMap { round(RequestWorld.SEED + it, off) }).isNotEmpty()
    }

    private fun round(
        seed: Long,
        off: RequestWorld.() -> Unit,
    ): List<String> {
        var problems = emptyList<String>()
        runTest(timeout = 5.minutes) {
            val world = RequestWorld(this, workerCount = 4, slots = 3, seed = seed).apply(off)
            val round = FaultRound(this, world, Random(seed))
            round.play()
            problems = round.settle()
            problems.forEach { println("seed $seed: $it") }
            executed += world.executions().size
            unknown += world.checker.unknown
        }
        return problems
    }

    /** Callers that repeat their keys through random instances while store, workers and instances fail. */
    private class FaultRound(
        private val test: TestScope,
        private val world: RequestWorld,
        private val random: Random,
    ) {
        private var names = 0
        private val instances = MutableList(3) { world.instance("e${names++}") }
        private val keys = List(30) { "k$it" }
        private val hit = random.nextDouble(0.05, 0.4)
        private var areFaultsOn = true

        suspend fun play() {
            injectFaults()
            val callers =
                keys.map { key ->
                    test.backgroundScope.launch { callAgainAndAgain(credit(key, workMs = 80)) }
                }
            val others = List(20) { test.backgroundScope.launch { call(grade("g$it")) } }
            repeat(6) {
                delay(random.nextLong(300, 1_500))
                val index = random.nextInt(instances.size)
                instances[index].kill()
                instances[index] = world.instance("e${names++}")
            }
            (callers + others).joinAll()
        }

        /** Ends the faults; from then on every key has to have one outcome, which every instance knows. */
        suspend fun settle(): List<String> {
            areFaultsOn = false
            delay(60_000)
            val open =
                keys.mapNotNull { key ->
                    val outcome = instances.random(random).call(credit(key, workMs = 80)).await()
                    val runs = world.executions().count { it.key == key }
                    if (outcome is Outcome.Success && runs == 1) null else "$key ran $runs times and ends as $outcome"
                }
            return world.checker.finish() + open
        }

        private suspend fun callAgainAndAgain(body: RequestBody) {
            repeat(4) {
                delay(random.nextLong(0, 1_500))
                if (random.nextInt(4) == 0) test.backgroundScope.launch { call(body) }
                if (call(body)) return
            }
        }

        /** True when the call succeeded; a call through an instance that dies does not. */
        private suspend fun call(body: RequestBody): Boolean {
            val call = instances.random(random).call(body)
            call.join()
            return !call.isCancelled && call.getCompleted() is Outcome.Success
        }

        private fun injectFaults() {
            world.storeFault = {
                if (isHit()) delay(random.nextLong(1, 1_200))
                if (isHit()) StoreFault.entries.random(random) else StoreFault.NONE
            }
            world.beforeEffect = {
                if (isHit()) delay(random.nextLong(1, 3_000))
                if (isHit()) CallFault.entries.random(random) else CallFault.NONE
            }
            world.afterEffect = {
                if (isHit()) delay(random.nextLong(1, 3_000))
                val faults = listOf(AnswerFault.LOSE, AnswerFault.CROSS, AnswerFault.TRUNCATE)
                if (isHit()) faults.random(random) else AnswerFault.NONE
            }
            world.behaviour = { WorkerBehaviour(refusesWork = isHit()) }
        }

        private fun isHit() = areFaultsOn && random.nextDouble() < hit
    }

    /** Writes without comparing versions. */
    private class BlindWrites(
        private val table: TableService,
    ) : TableService by table {
        override suspend fun commit(operations: List<TableOperation>): CommitResult =
            table.commit(operations.map { it.copy(expected = null) })
    }

    /** Takes every lost answer for a request that did not run. */
    private class Certain(
        private val client: WorkerClient,
    ) : WorkerClient by client {
        override suspend fun dispatch(
            request: WorkerRequest,
            deadlineMs: Long,
        ): DispatchResult {
            val result = client.dispatch(request, deadlineMs)
            return if (result is DispatchResult.Unknown) DispatchResult.NotRun(NotRunReason.BUSY) else result
        }
    }

    private companion object {
        const val ROUNDS = 25
    }
}
