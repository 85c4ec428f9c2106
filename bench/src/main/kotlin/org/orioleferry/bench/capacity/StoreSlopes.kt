package org.orioleferry.bench.capacity

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.orioleferry.coordination.notes.NoteAudience
import org.orioleferry.coordination.notes.NoteDistribution
import org.orioleferry.coordination.notes.NoteInstance
import org.orioleferry.core.Outcome
import org.orioleferry.core.SystemClock
import org.orioleferry.core.api.InstanceVersion
import org.orioleferry.core.api.RequestBody
import org.orioleferry.daemon.requests.RequestPeers
import org.orioleferry.daemon.requests.RequestService
import org.orioleferry.daemon.requests.RequestSettings
import org.orioleferry.standins.InMemoryTableService
import kotlin.random.Random

/** What one run has cost the store. */
private class StoreUse(
    val reads: Double,
    val writes: Double,
    val rowBytes: Double,
)

/** Reads, writes and bytes of rows per job, request and note. Runs of one slope take the same time. */
internal object StoreSlopes {
    suspend fun measure(): List<Slope> {
        val jobs = listOf(20, 40, 80).associateWith { jobs(it) }
        val tasks = listOf(20, 80, 320).associateWith { runningRows(ROW_JOBS, it / ROW_JOBS) }
        val rows = listOf(20, 40, 80).associateWith { runningRows(it, 1) }
        val requests = listOf(50, 100, 200).associateWith { requests(it) }
        val notes = listOf(40, 80, 160).associateWith { notes(it) }
        return listOf(
            slopeOf(SlopeKey.WRITES_JOB, jobs.points { it.writes }),
            slopeOf(SlopeKey.READS_JOB, jobs.points { it.reads }),
            slopeOf(SlopeKey.ROW_JOB, rows.points { it }),
            slopeOf(SlopeKey.ROW_TASK, tasks.points { it }),
            slopeOf(SlopeKey.WRITES_REQUEST, requests.points { it.writes }),
            slopeOf(SlopeKey.READS_REQUEST, requests.points { it.reads }),
            slopeOf(SlopeKey.ROW_REQUEST, requests.points { it.rowBytes }),
            slopeOf(SlopeKey.WRITES_NOTE, notes.points { it.writes }),
            slopeOf(SlopeKey.READS_NOTE, notes.points { it.reads }),
            slopeOf(SlopeKey.ROW_NOTE, notes.points { it.rowBytes }),
        ) + takeovers()
    }

    private fun <T> Map<Int, T>.points(value: (T) -> Double) = map { Point(it.key.toDouble(), value(it.value)) }

    /** Jobs from acceptance to their end, in a run of fixed length so that periodic reads only move the intercept. */
    private suspend fun jobs(count: Int): StoreUse {
        val tables = InMemoryTableService()
        val calls = WorkerCalls()
        val host = JobHost.start(tables, Sample.directory(FLEET), calls)
        delay(SETTLE_MS)
        val (reads, writes) = tables.reads to tables.writes
        val endMs = SystemClock.monotonicMs() + RUN_MS
        repeat(count) {
            host.submitOne()
            delay(GAP_MS)
        }
        calls.areTasksDone = true
        delay(endMs - SystemClock.monotonicMs())
        val use = StoreUse(tables.reads - reads.toDouble(), tables.writes - writes.toDouble(), 0.0)
        check(tables.rows("jobs", "ended/").size == count) { "not all jobs have ended" }
        host.stop()
        return use
    }

    private suspend fun JobHost.submitOne() = submit(1, TASKS)

    private suspend fun runningRows(
        count: Int,
        members: Int,
    ): Double {
        val tables = InMemoryTableService()
        val calls = WorkerCalls()
        val host = JobHost.start(tables, Sample.directory(FLEET), calls)
        host.submit(count, members)
        await("starting $count jobs") { calls.starts.get() == count.toLong() * members }
        delay(SETTLE_MS)
        val bytes = tables.rows("jobs", "${Sample.domain}/").wireBytes()
        host.stop()
        return bytes
    }

    private suspend fun requests(count: Int): StoreUse {
        val tables = InMemoryTableService()
        val job = Job()
        val service =
            RequestService(
                tables,
                Sample.directory(FLEET),
                { Sample.worker(it, WorkerCalls()) },
                { Sample.configuration },
                SystemClock,
                { _, _ -> },
                RequestSettings(Sample.instance),
                RequestPeers({ setOf(Sample.instance) }, assigned = { _, candidates -> candidates.first() }),
            )
        CoroutineScope(Dispatchers.Default + job).launch { service.run() }
        val endMs = SystemClock.monotonicMs() + RUN_MS
        repeat(count) {
            val body = RequestBody(Sample.workspace, "clerk-$it", Sample.credit, "slip-%06d".format(it), "weight $it")
            check(service.handle(body) is Outcome.Success) { "a request was not answered" }
        }
        delay(endMs - SystemClock.monotonicMs())
        val use = StoreUse(tables.reads.toDouble(), tables.writes.toDouble(), tables.rows("requests").wireBytes())
        job.cancelAndJoin()
        return use
    }

    private suspend fun notes(count: Int): StoreUse {
        val tables = InMemoryTableService()
        val audience =
            object : NoteAudience {
                override fun versions() = emptyList<InstanceVersion>()

                override fun hasHeardAll() = true
            }
        val instance = NoteInstance(Sample.instance, Sample.domain)
        val notes = NoteDistribution(instance, tables, NoPeers, audience, SystemClock, Random(1))
        repeat(count) {
            val outcome = notes.commit(NoteSample.note(it))
            check(outcome is Outcome.Success) { "a note was refused: $outcome" }
        }
        val bytes = tables.rows("notes").filter { it.key.all(Char::isDigit) }.wireBytes()
        return StoreUse(tables.reads.toDouble(), tables.writes.toDouble(), bytes)
    }

    /** A new owner that takes over running gangs of [TASKS] tasks. */
    private suspend fun takeovers(): List<Slope> {
        val uses = listOf(50, 100, 300).associateWith { takeover(it) }
        val calls = uses.map { Point(it.key.toDouble() * TASKS, it.value.second) }
        return listOf(
            slopeOf(SlopeKey.TAKEOVER_READS, uses.points { it.first.reads }),
            slopeOf(SlopeKey.TAKEOVER_WRITES, uses.points { it.first.writes }),
            slopeOf(SlopeKey.TAKEOVER_CALLS, calls),
        )
    }

    private suspend fun takeover(jobs: Int): Pair<StoreUse, Double> {
        val tables = InMemoryTableService()
        val calls = WorkerCalls()
        val directory = Sample.directory(TAKEOVER_FLEET)
        val former = JobHost.start(tables, directory, calls)
        former.submit(jobs, TASKS)
        await("starting $jobs jobs") { calls.starts.get() == jobs.toLong() * TASKS }
        delay(SETTLE_MS)
        former.stop()
        val (reads, writes) = tables.reads to tables.writes
        val renewals = calls.renewals.get()
        val successor = JobHost.start(tables, directory, calls, epoch = 2)
        delay(TAKEOVER_MS)
        val use = StoreUse(tables.reads - reads.toDouble(), tables.writes - writes.toDouble(), 0.0)
        val sent = (calls.renewals.get() - renewals).toDouble()
        successor.stop()
        return use to sent
    }

    private const val FLEET = 100
    private const val TAKEOVER_FLEET = 194
    private const val TASKS = 4
    private const val ROW_JOBS = 20
    private const val SETTLE_MS = 1_500L
    private const val GAP_MS = 5L
    private const val RUN_MS = 6_000L
    private const val TAKEOVER_MS = 2_000L
}
