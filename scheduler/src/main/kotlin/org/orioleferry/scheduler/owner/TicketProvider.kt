package org.orioleferry.scheduler.owner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.model.AdviceLatency
import org.orioleferry.scheduler.workers.AdviceResult
import org.orioleferry.scheduler.workers.StepId

/** Permission to run a step on one incarnation of a worker, valid until [validUntilMs] on the local monotonic clock. */
internal data class Ticket(
    val text: String,
    val incarnationMs: Long,
    val validUntilMs: Long,
)

/** Tickets and pending requests of one step at the advice service. */
internal class StepAdvice {
    /** Valid and expired tickets, by worker. */
    val tickets = HashMap<String, Ticket>()

    /** Monotonic times of the last requests, by worker. */
    val askedAtMs = HashMap<String, Long>()
    var isAsking = false

    /** Monotonic time of the last answer. */
    var answeredAtMs = Long.MIN_VALUE / 2
}

/** Caches tickets for steps of queues whose policy restricts the workers, and requests more while a step waits. */
internal class TicketProvider(
    private val dependencies: OwnerDependencies,
    private val scope: CoroutineScope,
    private val replan: () -> Unit,
) {
    private val clock = dependencies.clock

    // The advice service handles only one call per instance at a time.
    private val callMutex = Mutex()

    /** Returns the workers with a ticket for [step]; requests more for [sessions] if the step still waits. */
    fun allowedWorkers(
        step: StepRun,
        latency: AdviceLatency,
        sessions: List<WorkerSession>,
    ): Set<String> {
        val now = clock.monotonicMs()
        val advice = step.advice
        val incarnationMsByWorker = sessions.associate { it.id to it.listed.incarnationMs }
        advice.tickets.entries.removeIf { (worker, ticket) ->
            ticket.validUntilMs < now + VALIDITY_MARGIN_MS || incarnationMsByWorker[worker] != ticket.incarnationMs
        }
        val needsMoreWorkers = advice.tickets.isEmpty() || now - advice.answeredAtMs > ASK_MORE_AFTER_MS
        if (needsMoreWorkers && !advice.isAsking) requestTickets(step, latency, selectWorkersToAsk(step, sessions, now))
        return advice.tickets.keys.toSet()
    }

    /** Returns the ticket for a start of [step] on [session], empty if there is none. */
    fun ticketOf(
        step: StepRun,
        session: WorkerSession,
    ): String = step.advice.tickets[session.id]?.text ?: ""

    private fun selectWorkersToAsk(
        step: StepRun,
        sessions: List<WorkerSession>,
        nowMs: Long,
    ): List<WorkerSession> {
        val advice = step.advice
        val spec = step.spec
        return sessions
            .filter { spec.label.isEmpty() || spec.label in it.listed.labels }
            .filter { it.id !in advice.tickets && nowMs - (advice.askedAtMs[it.id] ?: NEVER_MS) > ASK_AGAIN_AFTER_MS }
            .sortedWith(
                compareBy<WorkerSession>(
                    { spec.dataRack.isNotEmpty() && it.listed.rack != spec.dataRack },
                    { !step.countedNeed.fitsIn(it.free) },
                    { advice.askedAtMs[it.id] ?: NEVER_MS },
                    { it.id },
                ),
            ).take(WORKERS_PER_CALL)
    }

    private fun requestTickets(
        step: StepRun,
        latency: AdviceLatency,
        sessions: List<WorkerSession>,
    ) {
        val service = dependencies.advice ?: return
        if (sessions.isEmpty()) return
        val advice = step.advice
        advice.isAsking = true
        val incarnationMsByWorker = sessions.associate { it.id to it.listed.incarnationMs }
        sessions.forEach { advice.askedAtMs[it.id] = clock.monotonicMs() }
        scope.launch {
            val id = StepId(step.job.id, step.occurrence, step.index)
            val timeoutMs = latency.decisionMs + latency.perWorkerMs * sessions.size + ANSWER_MARGIN_MS
            val (sentAtMs, result) =
                callMutex.withLock {
                    clock.monotonicMs() to service.requestAdvice(id, incarnationMsByWorker.keys.toList(), timeoutMs)
                }
            advice.isAsking = false
            advice.answeredAtMs = clock.monotonicMs()
            when (result) {
                is AdviceResult.Allowed ->
                    result.tickets.forEach { (worker, text) ->
                        val incarnationMs = incarnationMsByWorker[worker] ?: return@forEach
                        advice.tickets[worker] = Ticket(text, incarnationMs, sentAtMs + result.validMs)
                    }
                is AdviceResult.Unavailable -> sessions.forEach { advice.askedAtMs.remove(it.id) }
            }
            dependencies.log.record(
                SchedulerEvent.STEP_ADVISED,
                step.job.id,
                "step" to step.index,
                "asked" to sessions.size,
                "result" to if (result is AdviceResult.Allowed) "${result.tickets.size} allowed" else result,
            )
            replan()
        }
    }

    private companion object {
        // Time for a start order to reach its worker before the ticket expires.
        const val VALIDITY_MARGIN_MS = 300L

        // A step that still waits after this time cannot be placed on its allowed workers and needs others.
        const val ASK_MORE_AFTER_MS = 300L

        // Policies change rarely, so a refused worker is asked about again only after this time, and after equally
        // suitable workers that were not asked about or were asked about earlier.
        const val ASK_AGAIN_AFTER_MS = 3_000L

        // Half of the minimum, so that a difference to it does not overflow.
        const val NEVER_MS = Long.MIN_VALUE / 2

        // The objectives of the queues allow for one call about 30 workers per step.
        const val WORKERS_PER_CALL = 30
        const val ANSWER_MARGIN_MS = 1_000L
    }
}
