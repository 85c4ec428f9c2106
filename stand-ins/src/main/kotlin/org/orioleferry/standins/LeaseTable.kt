package org.orioleferry.standins

import org.orioleferry.core.model.JobId
import org.orioleferry.platform.Execution
import org.orioleferry.platform.LeaseResult
import org.orioleferry.platform.WorkerLease
import kotlin.math.ceil

/** States of a lease on the wire. */
internal object LeaseState {
    const val RESERVED = "reserved"
    const val RUNNING = "running"
    const val DONE = "done"
    const val FAILED = "failed"
    const val STOPPED = "stopped"
}

/** A reservation of accelerators. */
internal data class Reservation(
    val leaseId: String,
    val jobId: JobId,
    val attempt: Int,
    val accelerators: Int,
    val ttlMs: Long,
)

/** A lease that the worker holds. Its task had made [progressMs] at [sinceMs] and has progressed at [speed] since. */
private class HeldLease(
    val reservation: Reservation,
    var expiresMs: Long,
) {
    var state = LeaseState.RESERVED
    var workMs = 0L
    var speed = 1.0
    var sinceMs = 0L
    var progressMs = 0.0
    var completedMs = 0L
    var position = -1

    val isHolding: Boolean get() = state == LeaseState.RESERVED || state == LeaseState.RUNNING

    fun progressAt(nowMs: Long): Double = progressMs + (nowMs - sinceMs) * speed

    fun endsMs(): Long = sinceMs + ceil((workMs - progressMs) / speed).toLong()
}

/** Task leases of one worker. Not safe for concurrent use. */
internal class LeaseTable(
    private val accelerators: Int,
    private val log: ExecutionLog,
) {
    private val leases = linkedMapOf<String, HeldLease>()
    private val stopped = mutableSetOf<String>()

    /** Ends every task that has finished by [nowMs] and drops every lease that has lapsed by then. */
    fun advanceTo(nowMs: Long) {
        leases.values.toList().forEach { lease ->
            val isRunning = lease.state == LeaseState.RUNNING
            val endsMs = if (isRunning) lease.endsMs() else Long.MAX_VALUE
            when {
                isRunning && endsMs <= minOf(nowMs, lease.expiresMs) -> finish(lease, endsMs, LeaseState.DONE)
                lease.expiresMs <= nowMs -> expire(lease)
            }
        }
    }

    fun reserve(
        reservation: Reservation,
        behaviour: WorkerBehaviour,
        nowMs: Long,
    ): LeaseResult {
        leases[reservation.leaseId]?.let { return applied(it, nowMs) }
        val free = accelerators - leases.values.filter { it.isHolding }.sumOf { it.reservation.accelerators }
        return when {
            reservation.leaseId in stopped -> LeaseResult.Refused("stopped")
            behaviour.isLeaving -> LeaseResult.Refused("leaving")
            behaviour.refusesWork || reservation.accelerators > free -> LeaseResult.Refused("insufficient")
            else -> {
                val lease = HeldLease(reservation, nowMs + reservation.ttlMs)
                leases[reservation.leaseId] = lease
                applied(lease, nowMs)
            }
        }
    }

    fun start(
        leaseId: String,
        workMs: Long,
        behaviour: WorkerBehaviour,
        nowMs: Long,
    ): LeaseResult {
        val lease = leases[leaseId] ?: return LeaseResult.Missing
        if (lease.state != LeaseState.RESERVED) return applied(lease, nowMs)
        if (behaviour.isLeaving) return LeaseResult.Refused("leaving")
        lease.state = LeaseState.RUNNING
        lease.workMs = workMs
        lease.sinceMs = nowMs
        lease.position = log.begin(lease.reservation.toExecution(nowMs))
        if (behaviour.failsAll) finish(lease, nowMs, LeaseState.FAILED)
        advanceTo(nowMs)
        return applied(lease, nowMs)
    }

    fun renew(
        leaseId: String,
        ttlMs: Long,
        nowMs: Long,
    ): LeaseResult =
        update(leaseId, nowMs) { lease ->
            if (lease.isHolding) lease.expiresMs = nowMs + ttlMs
        }

    fun checkpoint(
        leaseId: String,
        behaviour: WorkerBehaviour,
        nowMs: Long,
    ): LeaseResult =
        update(leaseId, nowMs) { lease ->
            val keeps = lease.state == LeaseState.RUNNING && !behaviour.ignoresCheckpoints
            if (keeps) lease.completedMs = lease.progressAt(nowMs).toLong()
        }

    /** Runs the task at [share] of its full speed from [nowMs] on. */
    fun throttle(
        leaseId: String,
        share: Double,
        nowMs: Long,
    ): LeaseResult =
        update(leaseId, nowMs) { lease ->
            lease.progressMs = if (lease.state == LeaseState.RUNNING) lease.progressAt(nowMs) else lease.progressMs
            lease.sinceMs = nowMs
            lease.speed = share.coerceIn(MIN_SPEED, 1.0)
        }

    /** Ends the lease. A reservation that arrives later with the same identifier is refused. */
    fun stop(
        leaseId: String,
        nowMs: Long,
    ): LeaseResult {
        val lease = leases.remove(leaseId) ?: return LeaseResult.Missing
        stopped += leaseId
        if (lease.state == LeaseState.RUNNING) log.end(lease.position, nowMs, LeaseState.STOPPED)
        if (lease.isHolding) lease.state = LeaseState.STOPPED
        return applied(lease, nowMs)
    }

    fun toList(nowMs: Long): List<WorkerLease> = leases.values.map { it.toWire(nowMs) }

    private fun update(
        leaseId: String,
        nowMs: Long,
        change: (HeldLease) -> Unit,
    ): LeaseResult {
        val lease = leases[leaseId] ?: return LeaseResult.Missing
        change(lease)
        return applied(lease, nowMs)
    }

    private fun finish(
        lease: HeldLease,
        endedMs: Long,
        state: String,
    ) {
        lease.state = state
        if (state == LeaseState.DONE) lease.completedMs = lease.workMs
        lease.expiresMs = endedMs + FINISHED_RETENTION_MS
        log.end(lease.position, endedMs, state)
    }

    private fun expire(lease: HeldLease) {
        leases.remove(lease.reservation.leaseId)
        if (lease.state == LeaseState.RUNNING) log.end(lease.position, lease.expiresMs, "lapsed")
    }

    private fun applied(
        lease: HeldLease,
        nowMs: Long,
    ): LeaseResult = LeaseResult.Applied(lease.toWire(nowMs))

    private fun HeldLease.toWire(nowMs: Long): WorkerLease =
        WorkerLease(
            leaseId = reservation.leaseId,
            jobId = reservation.jobId,
            attempt = reservation.attempt,
            accelerators = reservation.accelerators,
            state = state,
            remainingMs = (expiresMs - nowMs).coerceAtLeast(0),
            completedMs = completedMs,
        )

    private fun Reservation.toExecution(nowMs: Long): Execution =
        Execution(
            kind = ExecutionLog.KIND_TASK,
            id = leaseId,
            jobId = jobId.value,
            attempt = attempt,
            startedMs = nowMs,
        )

    private companion object {
        // A new owner has to tell a finished task from a lapsed one, so a finished lease is kept beyond any takeover.
        const val FINISHED_RETENTION_MS = 600_000L

        // Keeps the end of a throttled task finite.
        const val MIN_SPEED = 0.01
    }
}
