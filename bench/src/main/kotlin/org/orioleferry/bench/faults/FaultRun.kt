package org.orioleferry.bench.faults

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.orioleferry.bench.check.checkJobs
import org.orioleferry.bench.check.checkRequests
import org.orioleferry.bench.demo.DemoWorkload
import org.orioleferry.bench.load.CallResult
import org.orioleferry.bench.load.DaemonClient
import org.orioleferry.bench.load.JobLedger
import org.orioleferry.bench.load.RequestLoad
import org.orioleferry.bench.process.Deployment
import org.orioleferry.core.model.Definitions
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.ReleaseNote
import kotlin.random.Random

/** Runs load and random faults against daemon processes, then the checkers. [print] takes one line of output. */
internal class FaultRun(
    private val deployment: Deployment,
    private val seed: Long,
    private val durationMs: Long,
    private val print: (String) -> Unit,
) {
    private val random = Random(seed)
    private val client = DaemonClient { deployment.daemons }
    private val load = RequestLoad(client, DemoWorkload.requestKinds, seed)
    private val jobs = JobLedger(client)
    private val noteMonitor = NoteVersionMonitor(client) { deployment.daemons }
    private val injectedCounts = linkedMapOf<String, Int>()
    private var committedNotes = 0

    /** Returns true when the checkers found no violation and every job has reached a final state. */
    suspend fun run(): Boolean =
        client.use {
            deployment.start()
            applyFirstNote()
            coroutineScope {
                val monitor = launch { noteMonitor.run() }
                val runningLoad = load.start(this, CALLERS, CALLER_PAUSE_MS)
                val submitter = launch { submitJobs() }
                val operator = launch { changeNotes() }
                injectFaults()
                submitter.cancelAndJoin()
                operator.cancelAndJoin()
                runningLoad.stop()
                awaitFinalStates()
                monitor.cancelAndJoin()
            }
            reportResults()
        }

    private suspend fun applyFirstNote() {
        repeat(FIRST_NOTE_TRIES) {
            if (client.apply(DemoWorkload.note) is CallResult.Answered) return
            delay(RETRY_MS)
        }
        error("the first release note was not accepted")
    }

    private suspend fun injectFaults() {
        val endMs = System.currentTimeMillis() + durationMs
        var faults = FaultPlan.all.shuffled(random)
        while (System.currentTimeMillis() < endMs) {
            if (faults.isEmpty()) faults = FaultPlan.all.shuffled(random)
            val fault = faults.first()
            faults = faults.drop(1)
            injectedCounts.merge(fault.name, 1, Int::plus)
            fault.inject(deployment, random)
            delay(random.nextLong(MAX_GAP_MS))
        }
    }

    private suspend fun CoroutineScope.submitJobs() {
        var number = 0
        while (isActive) {
            val suffix = "f$seed-${number++}"
            val submission =
                when (number % JOB_KINDS) {
                    0 -> DemoWorkload.adjacentGang(suffix, random.nextLong(500, 4_000))
                    1 -> DemoWorkload.urgent("pylos-b", suffix, random.nextLong(500, 4_000))
                    else ->
                        DemoWorkload.borrower(
                            DemoWorkload.dataCentres.random(random),
                            suffix,
                            random.nextLong(500, 8_000),
                        )
                }
            launch { jobs.submit(submission) }
            delay(SUBMIT_PERIOD_MS)
        }
    }

    /** Lets two operators commit notes concurrently, each of which adds one job class. */
    private suspend fun CoroutineScope.changeNotes() {
        var number = 0
        while (isActive) {
            val round = number++
            listOf("a", "b").map { operator ->
                launch {
                    val jobClass = JobClass(JobClassName("extra-$operator-$round"))
                    val note = ReleaseNote("note-$operator-$round", add = Definitions(classes = listOf(jobClass)))
                    if (client.apply(note) is CallResult.Answered) committedNotes++
                }
            }
            delay(NOTE_PERIOD_MS)
        }
    }

    private suspend fun awaitFinalStates() {
        repeat(SETTLE_TRIES) {
            if (jobs.records().all { it.state.isFinal }) return delay(SETTLE_POLL_MS)
            delay(SETTLE_POLL_MS)
        }
    }

    private suspend fun reportResults(): Boolean {
        val executions = deployment.executions()
        val requests = checkRequests(load.sent, executions)
        val jobVerdict = checkJobs(jobs.records(), executions, PARTIAL_BOUND_MS, System.currentTimeMillis())
        print("faults: $injectedCounts")
        print(
            "requests checked ${requests.sent}: done ${requests.done}, not run ${requests.notRun}, failed ${requests.failed}",
        )
        print("  unknown ${requests.unknown.size} ${requests.unknown.take(MAX_SHOWN)}")
        print("  ran twice ${requests.duplicates.size} ${requests.duplicates.take(MAX_SHOWN)}")
        print("  false \"not run\" ${requests.falseNotRun.size} ${requests.falseNotRun.take(MAX_SHOWN)}")
        print("  wrong answers ${requests.wrongAnswers.size} ${requests.wrongAnswers.take(MAX_SHOWN)}")
        print("  answered without work ${requests.answeredWithoutExecution.size}")
        print("jobs checked ${jobVerdict.accepted}: done ${jobVerdict.done}, reported ${jobVerdict.reported}")
        print("  unfinished ${jobVerdict.unfinished.size} ${jobVerdict.unfinished.take(MAX_SHOWN)}")
        print(
            "  partial gangs ${jobVerdict.partialGangs}, longest ${jobVerdict.longestPartialMs} ms of $PARTIAL_BOUND_MS ms",
        )
        print("  ran twice ${jobVerdict.ranTwice.size} ${jobVerdict.ranTwice.take(MAX_SHOWN)}")
        print(
            "  done without work ${jobVerdict.doneWithoutExecution.size} ${jobVerdict.doneWithoutExecution.take(
                MAX_SHOWN,
            )}",
        )
        print(
            "release notes: committed $committedNotes, newest version ${noteMonitor.newest}, reverts ${noteMonitor.reverts}",
        )
        val violations = requests.violations + jobVerdict.violations + noteMonitor.reverts.size
        print("violations: $violations")
        return violations == 0 && jobVerdict.unfinished.isEmpty()
    }

    private companion object {
        const val CALLERS = 16
        const val CALLER_PAUSE_MS = 20L
        const val FIRST_NOTE_TRIES = 40
        const val RETRY_MS = 250L
        const val MAX_GAP_MS = 2_000L
        const val JOB_KINDS = 5
        const val SUBMIT_PERIOD_MS = 400L
        const val NOTE_PERIOD_MS = 3_000L
        const val SETTLE_TRIES = 60
        const val SETTLE_POLL_MS = 1_000L
        const val PARTIAL_BOUND_MS = 10_000L
        const val MAX_SHOWN = 3
    }
}
