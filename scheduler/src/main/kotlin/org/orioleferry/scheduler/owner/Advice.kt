package org.orioleferry.scheduler.owner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.model.AdviceTerms
import org.orioleferry.scheduler.workers.AdviceResult
import org.orioleferry.scheduler.workers.StepId

/** Permission of one life of a worker to run a step. */
internal data class Ticket(
    val text: String,
    val bornMs: Long,
    val validUntilMs: Long,
)

/** What is known of the workers that may run a step. */
internal class StepAdvice {
    val tickets = HashMap<String, Ticket>()
    val askedAtMs = HashMap<String, Long>()
    var isAsking = false
    var answeredAtMs = Long.MIN_VALUE / 2
}

/** Keeps tickets for steps of queues whose policy names the workers, and asks for them when a step waits. */
internal class Advice(
    private val parts: OwnerParts,
    private val scope: CoroutineScope,
    private val replan: () -> Unit,
) {
    private val clock = parts.clock

    // The service handles one call of an instance at a time.
    private val turn = Mutex()

    /** Workers with a ticket for [step]. Asks about more of [sessions] when those were not enough. */
    fun allowed(
        step: StepRun,
        terms: AdviceTerms,
        sessions: List<WorkerSession>,
    ): Set<String> {
        val now = clock.monotonicMs()
        val known = step.advice
        val lives = sessions.associate { it.id to it.listed.bornMs }
        known.tickets.entries.removeIf { (worker, ticket) ->
            ticket.validUntilMs < now + VALIDITY_MARGIN_MS || lives[worker] != ticket.bornMs
        }
        val isShort = known.tickets.isEmpty() || now - known.answeredAtMs > MORE_AFTER_MS
        if (isShort && !known.isAsking) ask(step, terms, nextToAsk(step, sessions, now))
        return known.tickets.keys.toSet()
    }

    /** Ticket for a start of [step] on [session], empty when the worker asks for none. */
    fun ticketOf(
        step: StepRun,
        session: WorkerSession,
    ): String = step.advice.tickets[session.id]?.text ?: ""

    private fun nextToAsk(
        step: StepRun,
        sessions: List<WorkerSession>,
        nowMs: Long,
    ): List<WorkerSession> {
        val known = step.advice
        val spec = step.spec
        return sessions
            .filter { spec.label.isEmpty() || spec.label in it.listed.labels }
            .filter { it.id !in known.tickets && nowMs - (known.askedAtMs[it.id] ?: NEVER_MS) > ASKED_AGAIN_MS }
            .sortedWith(
                compareBy<WorkerSession>(
                    { spec.dataRack.isNotEmpty() && it.listed.rack != spec.dataRack },
                    { !step.countedNeed.fitsIn(it.free) },
                    { known.askedAtMs[it.id] ?: NEVER_MS },
                    { it.id },
                ),
            ).take(WORKERS_PER_CALL)
    }

    private fun ask(
        step: StepRun,
        terms: AdviceTerms,
        sessions: List<WorkerSession>,
    ) {
        val service = parts.advice ?: return
        if (sessions.isEmpty()) return
        val known = step.advice
        known.isAsking = true
        val lives = sessions.associate { it.id to it.listed.bornMs }
        sessions.forEach { known.askedAtMs[it.id] = clock.monotonicMs() }
        scope.launch {
            val id = StepId(step.job.id, step.occurrence, step.index)
            val timeoutMs = terms.decisionMs + terms.perWorkerMs * sessions.size + ANSWER_MARGIN_MS
            val (sentAtMs, result) =
                turn.withLock { clock.monotonicMs() to service.ask(id, lives.keys.toList(), timeoutMs) }
            known.isAsking = false
            known.answeredAtMs = clock.monotonicMs()
            when (result) {
                is AdviceResult.Allowed ->
                    result.tickets.forEach { (worker, text) ->
                        val born = lives[worker] ?: return@forEach
                        known.tickets[worker] = Ticket(text, born, sentAtMs + result.validMs)
                    }
                is AdviceResult.Unavailable -> sessions.forEach { known.askedAtMs.remove(it.id) }
            }
            parts.log.record(
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
        // An order has to reach its worker while the ticket is valid.
        const val VALIDITY_MARGIN_MS = 300L

        // A step that still waits after this time needs other workers than those it may use.
        const val MORE_AFTER_MS = 300L

        // Policies change seldom; a refusal is asked for again only when nothing else is left to ask.
        const val ASKED_AGAIN_MS = 3_000L
        const val NEVER_MS = Long.MIN_VALUE / 2

        // Objectives allow for one call on 30 workers a step.
        const val WORKERS_PER_CALL = 30
        const val ANSWER_MARGIN_MS = 1_000L
    }
}
