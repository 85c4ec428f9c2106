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

/** Load with random faults over real processes, then the verdict of the checkers. [print] takes one line. */
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
    private val notes = NoteWatch(client) { deployment.daemons }
    private val causes = linkedMapOf<String, Int>()
    private var committedNotes = 0

    /** True when no promise was broken. */
    suspend fun run(): Boolean =
        client.use {
            deployment.start()
            applyFirstNote()
            coroutineScope {
                val watch = launch { notes.run() }
                val callers = load.start(this, CALLERS, CALLER_PAUSE_MS)
                val submitter = launch { submitJobs() }
                val operator = launch { changeNotes() }
                causeFaults()
                submitter.cancelAndJoin()
                operator.cancelAndJoin()
                callers.stop()
                settle()
                watch.cancelAndJoin()
            }
            report()
        }

    private suspend fun applyFirstNote() {
        repeat(FIRST_NOTE_TRIES) {
            if (client.apply(DemoWorkload.note) is CallResult.Answered) return
            delay(RETRY_MS)
        }
        error("the first release note was not accepted")
    }

    private suspend fun causeFaults() {
        val endMs = System.currentTimeMillis() + durationMs
        var faults = FaultPlan.all.shuffled(random)
        while (System.currentTimeMillis() < endMs) {
            if (faults.isEmpty()) faults = FaultPlan.all.shuffled(random)
            val fault = faults.first()
            faults = faults.drop(1)
            causes.merge(fault.name, 1, Int::plus)
            fault.cause(deployment, random)
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
            delay(JOB_PERIOD_MS)
        }
    }

    /** Two operators race with notes that add one class each. */
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

    private suspend fun settle() {
        repeat(SETTLE_TRIES) {
            if (jobs.records().all { it.state.isFinal }) return delay(SETTLE_MS)
            delay(SETTLE_MS)
        }
    }

    private suspend fun report(): Boolean {
        val executions = deployment.executions()
        val requests = checkRequests(load.sent, executions)
        val jobVerdict = checkJobs(jobs.records(), executions, PARTIAL_BOUND_MS, System.currentTimeMillis())
        print("faults: $causes")
        print(
            "requests checked ${requests.sent}: done ${requests.done}, not run ${requests.notRun}, failed ${requests.failed}",
        )
        print("  unknown ${requests.unknown.size} ${requests.unknown.take(SHOWN)}")
        print("  ran twice ${requests.duplicates.size} ${requests.duplicates.take(SHOWN)}")
        print("  false \"not run\" ${requests.falseNotRun.size} ${requests.falseNotRun.take(SHOWN)}")
        print("  wrong answers ${requests.wrongAnswers.size} ${requests.wrongAnswers.take(SHOWN)}")
        print("  answered without work ${requests.answeredWithoutExecution.size}")
        print("jobs checked ${jobVerdict.accepted}: done ${jobVerdict.done}, reported ${jobVerdict.reported}")
        print("  unfinished ${jobVerdict.unfinished.size} ${jobVerdict.unfinished.take(SHOWN)}")
        print(
            "  partial gangs ${jobVerdict.partialGangs}, longest ${jobVerdict.longestPartialMs} ms of $PARTIAL_BOUND_MS ms",
        )
        print("  ran twice ${jobVerdict.ranTwice.size} ${jobVerdict.ranTwice.take(SHOWN)}")
        print(
            "  done without work ${jobVerdict.doneWithoutExecution.size} ${jobVerdict.doneWithoutExecution.take(
                SHOWN,
            )}",
        )
        print("release notes: committed $committedNotes, newest version ${notes.newest}, reverts ${notes.reverts}")
        val violations = requests.violations + jobVerdict.violations + notes.reverts.size
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
        const val JOB_PERIOD_MS = 400L
        const val NOTE_PERIOD_MS = 3_000L
        const val SETTLE_TRIES = 60
        const val SETTLE_MS = 1_000L
        const val PARTIAL_BOUND_MS = 10_000L
        const val SHOWN = 3
    }
}
