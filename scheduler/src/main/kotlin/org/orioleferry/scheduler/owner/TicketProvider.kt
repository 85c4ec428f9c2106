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
    val tickets = HashMap<String, Ticket>()
    val askedAtMs = HashMap<String, Long>()
    var isAsking = false
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
        val known = step.advice
        val incarnationMsByWorker = sessions.associate { it.id to it.listed.incarnationMs }
        known.tickets.entries.removeIf { (worker, ticket) ->
            ticket.validUntilMs < now + VALIDITY_MARGIN_MS || incarnationMsByWorker[worker] != ticket.incarnationMs
        }
        val needsMoreWorkers = known.tickets.isEmpty() || now - known.answeredAtMs > ASK_MORE_AFTER_MS
        if (needsMoreWorkers && !known.isAsking) requestTickets(step, latency, selectWorkersToAsk(step, sessions, now))
        return known.tickets.keys.toSet()
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
        val known = step.advice
        val spec = step.spec
        return sessions
            .filter { spec.label.isEmpty() || spec.label in it.listed.labels }
            .filter { it.id !in known.tickets && nowMs - (known.askedAtMs[it.id] ?: NEVER_MS) > ASK_AGAIN_AFTER_MS }
            .sortedWith(
                compareBy<WorkerSession>(
                    { spec.dataRack.isNotEmpty() && it.listed.rack != spec.dataRack },
                    { !step.countedNeed.fitsIn(it.free) },
                    { known.askedAtMs[it.id] ?: NEVER_MS },
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
        val known = step.advice
        known.isAsking = true
        val incarnationMsByWorker = sessions.associate { it.id to it.listed.incarnationMs }
        sessions.forEach { known.askedAtMs[it.id] = clock.monotonicMs() }
        scope.launch {
            val id = StepId(step.job.id, step.occurrence, step.index)
            val timeoutMs = latency.decisionMs + latency.perWorkerMs * sessions.size + ANSWER_MARGIN_MS
            val (sentAtMs, result) =
                callMutex.withLock {
                    clock.monotonicMs() to service.requestAdvice(id, incarnationMsByWorker.keys.toList(), timeoutMs)
                }
            known.isAsking = false
            known.answeredAtMs = clock.monotonicMs()
            when (result) {
                is AdviceResult.Allowed ->
                    result.tickets.forEach { (worker, text) ->
                        val incarnationMs = incarnationMsByWorker[worker] ?: return@forEach
                        known.tickets[worker] = Ticket(text, incarnationMs, sentAtMs + result.validMs)
                    }
                is AdviceResult.Unavailable -> sessions.forEach { known.askedAtMs.remove(it.id) }
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

        // Policies change rarely, so a refused worker is asked about again only after this time, when no other is left.
        const val ASK_AGAIN_AFTER_MS = 3_000L
        const val NEVER_MS = Long.MIN_VALUE / 2

        // The objectives of the queues allow for one call about 30 workers per step.
        const val WORKERS_PER_CALL = 30
        const val ANSWER_MARGIN_MS = 1_000L
    }
}
