package org.orioleferry.daemon.requests

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.orioleferry.coordination.upstream.UpstreamDirectory
import org.orioleferry.core.Clock
import org.orioleferry.core.Failure
import org.orioleferry.core.FailureCode
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.LateItem
import org.orioleferry.core.api.RequestAnswer
import org.orioleferry.core.api.RequestBody
import org.orioleferry.core.api.RequestStatus
import org.orioleferry.core.event.EventSink
import org.orioleferry.core.event.EventType
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.sharing.ClassLoad
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.TableService
import org.orioleferry.platform.WorkerClientProvider
import java.util.UUID
import kotlin.random.Random

/**
 * The request path of one instance.
 *
 * [run] has to run for as long as requests are handled, since it writes the intent rows. Cancelling it and the calls of
 * [handle] has the same effect as killing the instance: rows in progress remain in the state `intent`.
 *
 * @param peers the other entry instances.
 * @param newRequestId source of identifiers that are unique across all instances and restarts.
 */
public class RequestService(
    table: TableService,
    directory: UpstreamDirectory,
    clients: WorkerClientProvider,
    private val configuration: () -> Configuration,
    private val clock: Clock,
    private val events: EventSink,
    private val settings: RequestSettings,
    peers: RequestPeers,
    newRequestId: () -> String = { UUID.randomUUID().toString() },
    random: Random = Random.Default,
) {
    private val slotAllocator = SlotAllocator(clock, settings.maxQueued, random.nextLong(), peers, configuration)
    private val pool =
        UpstreamPool(directory, clients, clock, random, settings.slotsPerWorker, slotAllocator::grantSlots)
    private val journal = IntentJournal(table, clock, settings)
    private val resolver = Resolver(journal, pool, clock, settings, events, peers)
    private val scan = OrphanScan(table, resolver, clock, settings, peers)
    private val dispatcher = Dispatcher(journal, resolver, pool, clock, settings, newRequestId, events)
    private val gate = DrainGate()
    private val keys = KeyFilter(journal, resolver, RepeatHandler(journal, resolver, clock, settings), clock)
    private val router = RouteFilter(pool, clock, random)
    private val chain: RequestHandler =
        chainOf(
            listOf(gate::countInProgress, keys::filter, gate::admit, ::acquireSlot, router::filter),
            dispatcher::dispatch,
        )

    init {
        slotAllocator.pool = pool
    }

    /** Handles one request and returns its answer. Never throws for a failure of a worker or of the store. */
    public suspend fun handle(body: RequestBody): Outcome<RequestAnswer> {
        val outcome =
            when (val validated = validateRequest(body, configuration(), settings, clock.monotonicMs())) {
                is Outcome.Failed -> validated
                is Outcome.Success -> toOutcome(chain(validated.value))
            }
        report(body, outcome)
        return outcome
    }

    /** Returns the recorded status of the non-idempotent request with [key]. */
    public suspend fun lookUp(
        workspace: WorkspaceName,
        key: String,
    ): Outcome<RequestStatus> =
        when (val read = journal.read(RequestRecord.keyOf(workspace, key))) {
            is ReadResult.Unavailable ->
                failed(Failure(FailureCode.STORE_UNAVAILABLE, "the record cannot be read", isNotRun = false))

            is ReadResult.Found ->
                read.value?.let { Outcome.Success(it.record.toStatus()) }
                    ?: failed(Failure(FailureCode.NOT_FOUND, "no request with this key is recorded", isNotRun = false))
        }

    /** Waiting and running requests of each class, for the load exchange between instances. */
    public fun classLoads(): Map<JobClassName, ClassLoad> = slotAllocator.loads()

    /** Requests of unknown outcome that this instance is resolving. */
    public fun unknownOutcomes(): List<LateItem> = resolver.unknownOutcomes()

    /** Runs group commit, resolution of unknown outcomes, the orphan scan and slot grants until it is cancelled. */
    public suspend fun run(): Unit =
        coroutineScope {
            launch { journal.run() }
            launch { resolver.run() }
            launch { scan.run() }
            launch { slotAllocator.run() }
        }

    /**
     * Drains the service: refuses new requests after [RequestSettings.drainRefuseAfterMs], and returns when no request
     * is in progress and every final row is written, or after [RequestSettings.drainLimitMs].
     */
    public suspend fun drain() {
        val startMs = clock.monotonicMs()
        events(EventType.DRAIN_STARTED, emptyMap())
        delay(settings.drainRefuseAfterMs)
        gate.close()
        while (clock.monotonicMs() - startMs < settings.drainLimitMs && (gate.inProgress > 0 || journal.backlog > 0)) {
            delay(DRAIN_POLL_MS)
        }
        events(EventType.DRAIN_FINISHED, mapOf("inProgress" to gate.inProgress.toString()))
    }

    private suspend fun acquireSlot(
        context: RequestContext,
        next: RequestHandler,
    ): RequestResult =
        when (val result = slotAllocator.acquire(context)) {
            is SlotAcquisition.Shed -> RequestResult.Refused(result.failure)

            is SlotAcquisition.Granted -> {
                val startedMs = clock.monotonicMs()
                try {
                    next(context.copy(slot = result.slot))
                } finally {
                    pool.releaseUnused(result.slot)
                    slotAllocator.recordFinished(context.jobClass.name, clock.monotonicMs() - startedMs)
                }
            }
        }

    private fun toOutcome(result: RequestResult): Outcome<RequestAnswer> =
        when (result) {
            is RequestResult.Answered -> Outcome.Success(result.answer)
            is RequestResult.Refused -> failed(result.failure)
            is RequestResult.NotRunOnUpstream -> failed(RequestFailures.noUpstream("no worker accepted the request"))
            is RequestResult.Unknown -> failed(RequestFailures.outcomeUnknown(null, result.reason))
            is RequestResult.FailedOnUpstream -> failed(RequestFailures.upstreamFailed(result.reason))
            is RequestResult.Existing ->
                failed(
                    RequestFailures.outcomeUnknown(result.row.record.requestId, "in progress"),
                )
        }

    private fun failed(failure: Failure): Outcome.Failed = Outcome.Failed(failure)

    private fun report(
        body: RequestBody,
        outcome: Outcome<RequestAnswer>,
    ) {
        val common = mapOf("workspace" to body.workspace.value, "class" to body.jobClass.value)
        when (outcome) {
            is Outcome.Success ->
                events(
                    EventType.REQUEST_DONE,
                    common + mapOf("request" to outcome.value.requestId, "worker" to outcome.value.worker.value),
                )

            is Outcome.Failed -> {
                val type = if (outcome.failure.isNotRun) EventType.REQUEST_REFUSED else EventType.REQUEST_UNKNOWN
                events(type, common + outcome.failure.details + ("code" to outcome.failure.code.name))
            }
        }
    }

    private companion object {
        const val DRAIN_POLL_MS = 20L
    }
}
