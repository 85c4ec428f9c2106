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
    // Guards properties 3, 4, 5 and 7 against combinations of faults that no other test covers.
    @Test
    fun `random faults should cause no duplicate, no false not run and no wrong answer`() {
        repeat(
            ROUNDS,
        ) { round -> expectThat(round(RequestSimulation.SEED + round) {}).describedAs("round $round").isEmpty() }
        println("measured: $ROUNDS rounds, $executed executions, $unknown answers not known to be not run")
    }

    // The next three show that the test above fails when one protection is turned off.
    @Test
    fun `without compare-and-set random faults should cause problems`() =
        expectProblems { tableOf = { UnconditionalWrites(it) } }

    @Test
    fun `without sealing random faults should cause problems`() = expectProblems { clientOf = ::IneffectiveSeal }

    @Test
    fun `without unknown outcomes for lost answers random faults should cause problems`() =
        expectProblems { clientOf = { LostAnswerAsNotRun(it) } }

    private var executed = 0
    private var unknown = 0

    private fun expectProblems(disableProtection: RequestSimulation.() -> Unit) {
        expectThat((0 until ROUNDS).flatMap { round(RequestSimulation.SEED + it, disableProtection) }).isNotEmpty()
    }

    private fun round(
        seed: Long,
        disableProtection: RequestSimulation.() -> Unit,
    ): List<String> {
        var problems = emptyList<String>()
        runTest(timeout = 5.minutes) {
            val simulation = RequestSimulation(this, workerCount = 4, slots = 3, seed = seed).apply(disableProtection)
            val round = FaultRound(this, simulation, Random(seed))
            round.run()
            problems = round.checkOutcomes()
            problems.forEach { println("seed $seed: $it") }
            executed += simulation.executions().size
            unknown += simulation.checker.unknown
        }
        return problems
    }

    /** Lets callers repeat their keys through random instances while store, workers and instances fail. */
    private class FaultRound(
        private val test: TestScope,
        private val simulation: RequestSimulation,
        private val random: Random,
    ) {
        private var instanceCount = 0
        private val instances = MutableList(3) { simulation.startInstance("e${instanceCount++}") }
        private val keys = List(30) { "k$it" }
        private val faultProbability = random.nextDouble(0.05, 0.4)
        private var areFaultsOn = true

        suspend fun run() {
            injectFaults()
            val callers =
                keys.map { key ->
                    test.backgroundScope.launch { callWithRepeats(creditRequest(key, workMs = 80)) }
                }
            val others = List(20) { test.backgroundScope.launch { call(gradeRequest("g$it")) } }
            repeat(6) {
                delay(random.nextLong(300, 1_500))
                val index = random.nextInt(instances.size)
                instances[index].kill()
                instances[index] = simulation.startInstance("e${instanceCount++}")
            }
            (callers + others).joinAll()
        }

        /** Ends the faults and checks that every key has one outcome, which every instance knows. */
        suspend fun checkOutcomes(): List<String> {
            areFaultsOn = false
            delay(60_000)
            val open =
                keys.mapNotNull { key ->
                    val outcome = instances.random(random).call(creditRequest(key, workMs = 80)).await()
                    val runs = simulation.executions().count { it.key == key }
                    if (outcome is Outcome.Success && runs == 1) null else "$key ran $runs times and ends as $outcome"
                }
            return simulation.checker.finish() + open
        }

        private suspend fun callWithRepeats(body: RequestBody) {
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
            simulation.storeFault = {
                if (isFaultDue()) delay(random.nextLong(1, 1_200))
                if (isFaultDue()) StoreFault.entries.random(random) else StoreFault.NONE
            }
            simulation.beforeEffect = {
                if (isFaultDue()) delay(random.nextLong(1, 3_000))
                if (isFaultDue()) CallFault.entries.random(random) else CallFault.NONE
            }
            simulation.afterEffect = {
                if (isFaultDue()) delay(random.nextLong(1, 3_000))
                val faults = listOf(AnswerFault.LOSE, AnswerFault.CROSS, AnswerFault.TRUNCATE)
                if (isFaultDue()) faults.random(random) else AnswerFault.NONE
            }
            simulation.behaviour = { WorkerBehaviour(refusesWork = isFaultDue()) }
        }

        private fun isFaultDue() = areFaultsOn && random.nextDouble() < faultProbability
    }

    /** Writes without comparing versions. */
    private class UnconditionalWrites(
        private val table: TableService,
    ) : TableService by table {
        override suspend fun commit(operations: List<TableOperation>): CommitResult =
            table.commit(operations.map { it.copy(expected = null) })
    }

    /** Reports every lost answer as a request that did not run. */
    private class LostAnswerAsNotRun(
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
