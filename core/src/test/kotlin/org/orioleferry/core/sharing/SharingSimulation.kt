package org.orioleferry.core.sharing

import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.Workspace
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** A Poisson stream of requests with exponential service times. */
internal data class Stream(
    val jobClass: JobClass,
    val workspace: Workspace,
    val callers: List<String>,
    val perSecond: Double,
    val serviceMs: Double = 100.0,
    val deadlineMs: Long = 20_000,
)

/** Results of one stream. Waits are in milliseconds. */
internal class StreamResult {
    val waits = mutableListOf<Long>()
    var offered = 0
    var shed = 0

    fun quantile(share: Double): Long = waits.sorted().let { it[((it.size - 1) * share).toInt()] }

    val servedShare: Double get() = waits.size.toDouble() / offered
}

/** Runs a [FairScheduler] for [slots] slots in virtual time. */
internal class SharingSimulation(
    private val slots: Int,
    seed: Long,
    private val callerOf: (String) -> String = { it },
) {
    private class Arrival(
        val stream: Stream,
        val caller: String,
        val arrivedMs: Long,
        val serviceMs: Long,
    )

    private val random = Random(seed)
    private val scheduler = FairScheduler<Arrival>(2_000, seed)
    private val results = HashMap<Stream, StreamResult>()
    private val events = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
    private var nowMs = 0L
    private var busySlots = 0

    val steps: Long get() = scheduler.steps

    fun run(
        streams: List<Stream>,
        lengthMs: Long,
    ): Map<Stream, StreamResult> {
        streams.forEach { scheduleArrival(it, lengthMs) }
        while (true) {
            val (at, event) = events.poll() ?: return results
            nowMs = at
            event()
            startRequests()
        }
    }

    private fun scheduleArrival(
        stream: Stream,
        lengthMs: Long,
    ) {
        val at = nowMs + sampleExponential(1_000.0 / stream.perSecond)
        if (at > lengthMs) return
        events += at to {
            val result = results.getOrPut(stream) { StreamResult() }
            val caller = callerOf(stream.callers.random(random))
            val arrival = Arrival(stream, caller, nowMs, sampleExponential(stream.serviceMs))
            val deadline = nowMs + stream.deadlineMs
            val offer = scheduler.offer(stream.jobClass, stream.workspace, caller, deadline, arrival, nowMs)
            result.offered++
            if (offer is Offer.Shed) result.shed++
            scheduleArrival(stream, lengthMs)
        }
    }

    private fun startRequests() {
        while (busySlots < slots) {
            val ticket = scheduler.next(SlotCapacity(slots, slots - busySlots), nowMs) ?: return
            val arrival = ticket.item
            results.getValue(arrival.stream).waits += nowMs - arrival.arrivedMs
            busySlots++
            events += nowMs + arrival.serviceMs to {
                busySlots--
                scheduler.recordFinished(arrival.stream.jobClass.name, arrival.serviceMs)
            }
        }
    }

    private fun sampleExponential(mean: Double): Long = maxOf(1L, (-ln(1.0 - random.nextDouble()) * mean).toLong())
}
