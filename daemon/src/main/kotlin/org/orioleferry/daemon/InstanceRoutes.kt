package org.orioleferry.daemon

import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import org.orioleferry.coordination.membership.Membership
import org.orioleferry.coordination.notes.NoteDistribution
import org.orioleferry.coordination.ownership.OwnershipManager
import org.orioleferry.core.api.InstanceList
import org.orioleferry.core.api.InstanceView
import org.orioleferry.core.settings.InstanceSettings

/** Serves the instances that this one knows, itself included. */
internal fun Route.instanceRoutes(
    self: InstanceSettings,
    membership: Membership,
    ownership: OwnershipManager,
    notes: NoteDistribution,
    isDraining: () -> Boolean,
) {
    get("/v1/instances") {
        val state = if (isDraining()) "LEAVING" else "ALIVE"
        val own = InstanceView(self.id, self.dataCentre, state, notes.configuration.value.version, ownership.owned())
        val others =
            membership.members().map { member ->
                val heartbeat = member.heartbeat
                val version = heartbeat?.noteVersion ?: 0
                InstanceView(member.id, member.dataCentre, member.state.name, version, heartbeat?.owned.orEmpty())
            }
        call.respond(InstanceList((others + own).sortedBy { it.id.value }))
    }
}

/** Serves health, readiness for the load balancer and metrics. */
internal fun Route.probeRoutes(
    metrics: Metrics,
    isReady: () -> Boolean,
) {
    get("/health") { call.respondText("ok\n") }
    get("/ready") {
        if (isReady()) {
            call.respondText("ready\n")
        } else {
            call.respondText("not ready\n", status = HttpStatusCode.ServiceUnavailable)
        }
    }
    get("/metrics") { call.respondText(metrics.scrape()) }
}
