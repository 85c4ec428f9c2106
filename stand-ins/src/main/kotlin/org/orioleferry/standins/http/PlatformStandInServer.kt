package org.orioleferry.standins.http

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.serialization.Serializable
import org.orioleferry.core.Clock
import org.orioleferry.core.SystemClock
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.ConflictAnswer
import org.orioleferry.platform.FaultBody
import org.orioleferry.platform.InstancesAnswer
import org.orioleferry.platform.ListedInstance
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.RowsAnswer
import org.orioleferry.platform.TableService
import org.orioleferry.platform.TransactionAnswer
import org.orioleferry.platform.TransactionBody
import org.orioleferry.standins.FaultName
import org.orioleferry.standins.FaultSwitches
import org.orioleferry.standins.InMemoryTableService
import org.orioleferry.standins.LaggingInstanceList
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Answer of `GET /statistics`: calls that the table service has answered. */
@Serializable
public data class StoreStatistics(
    val reads: Long,
    val writes: Long,
)

/**
 * The platform over HTTP: table service, object store and instance list in memory, with fault switches.
 *
 * @property requestedPort port to listen on, or 0 for a free one.
 * @param listLagMs time in milliseconds after which the instance list shows a change.
 */
public class PlatformStandInServer(
    private val requestedPort: Int = 0,
    seed: Long = 0,
    listLagMs: Long = 0,
    clock: Clock = SystemClock,
) {
    /** The tables, for direct checks in tests. */
    public val tables: InMemoryTableService = InMemoryTableService()

    /** The instance list. */
    public val instances: LaggingInstanceList = LaggingInstanceList(clock, listLagMs)

    private val switches = FaultSwitches(clock, seed)
    private val faults = CallFaults(switches)
    private val objects = ConcurrentHashMap<String, String>()
    private val objectVersion = AtomicLong()
    private val server = LoopbackServer(requestedPort) { routing { routes() } }

    /** Port that the server listens on, after [start]. */
    public var port: Int = 0
        private set

    /** Base URL, after [start]. */
    public val baseUrl: String get() = "http://127.0.0.1:$port"

    /** Starts the server. */
    public suspend fun start() {
        port = server.start()
    }

    /** Stops the server; calls in progress are aborted after a short grace period. */
    public suspend fun stop(): Unit = server.stop()

    /** Switches a fault on or off, as `POST /faults` does. */
    public fun setFault(body: FaultBody) {
        if (body.fault == FaultName.LIST_LAG) instances.lagMs = body.delayMs else switches.set(body)
    }

    private fun Route.routes() {
        tableRoutes()
        objectRoutes()
        instanceRoutes()
        post("/faults") {
            val answer =
                call.withBody<FaultBody> { body ->
                    if (body.fault in FaultName.ofPlatform) {
                        setFault(body)
                        answerOf(body)
                    } else {
                        errorOf(STATUS_BAD_REQUEST, "bad-request", "unknown fault ${body.fault}")
                    }
                }
            call.send(answer)
        }
        get("/statistics") { call.send(answerOf(StoreStatistics(tables.reads, tables.writes))) }
    }

    private fun Route.tableRoutes() {
        get("/tables/{table}/row") {
            val key = call.request.queryParameters["key"].orEmpty()
            handleStoreCall(call, "row") { readRow(call.parameter("table"), key) }
        }
        get("/tables/{table}/rows") {
            val query = call.request.queryParameters
            val limit = query["limit"]?.toIntOrNull() ?: TableService.DEFAULT_SCAN_LIMIT
            handleStoreCall(call, "rows") {
                when (
                    val rows =
                        tables.scan(
                            call.parameter("table"),
                            query["prefix"].orEmpty(),
                            query["after"],
                            limit,
                        )
                ) {
                    is ReadResult.Found -> answerOf(RowsAnswer(rows.value))
                    is ReadResult.Unavailable -> unavailable(rows.reason)
                }
            }
        }
        post("/transactions") {
            handleStoreCall(call, "transactions") { call.withBody<TransactionBody> { commit(it) } }
        }
    }

    private fun Route.objectRoutes() {
        get("/objects/{key}") {
            handleStoreCall(call, "objects") {
                val value = objects[call.parameter("key")]
                value?.let { HttpAnswer(STATUS_OK, it, ContentType.Text.Plain) } ?: notFound("the object")
            }
        }
        put("/objects/{key}") {
            handleStoreCall(call, "objects-put") {
                objects[call.parameter("key")] = call.receiveText()
                answerOf(TransactionAnswer(listOf(objectVersion.incrementAndGet())))
            }
        }
    }

    private fun Route.instanceRoutes() {
        get("/instances") { faults.handle(call, "instances") { answerOf(InstancesAnswer(instances.snapshot())) } }
        put("/instances/{id}") {
            faults.handle(call, "instances-put") {
                call.withBody<ListedInstance> { body ->
                    instances.put(body.copy(id = call.parameter("id")))
                    answerOf(TransactionAnswer(emptyList()))
                }
            }
        }
        delete("/instances/{id}") {
            faults.handle(call, "instances-delete") {
                instances.remove(call.parameter("id"))
                answerOf(TransactionAnswer(emptyList()))
            }
        }
    }

    private suspend fun handleStoreCall(
        call: ApplicationCall,
        kind: String,
        effect: suspend () -> HttpAnswer,
    ) = faults.handle(call, kind) {
        if (switches.draw(FaultName.DOWN) != null) unavailable("the store is down") else effect()
    }

    private suspend fun readRow(
        table: String,
        key: String,
    ): HttpAnswer =
        when (val row = tables.read(table, key)) {
            is ReadResult.Found -> row.value?.let { answerOf(it) } ?: notFound("the row")
            is ReadResult.Unavailable -> unavailable(row.reason)
        }

    private suspend fun commit(body: TransactionBody): HttpAnswer =
        when (val result = tables.commit(body.operations)) {
            is CommitResult.Committed -> answerOf(TransactionAnswer(result.versions))
            is CommitResult.Conflicted ->
                HttpAnswer(STATUS_CONFLICT, wireJson.encodeToString(ConflictAnswer(result.conflicts)))
            is CommitResult.Unavailable -> unavailable(result.reason)
            is CommitResult.Unknown -> errorOf(STATUS_FAILED, "unknown", result.reason, notRun = false)
        }

    private fun unavailable(reason: String): HttpAnswer = errorOf(STATUS_UNAVAILABLE, "unavailable", reason)
}

internal fun ApplicationCall.parameter(name: String): String = parameters[name].orEmpty()
