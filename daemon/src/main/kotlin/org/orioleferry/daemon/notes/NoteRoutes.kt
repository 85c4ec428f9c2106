package org.orioleferry.daemon.notes

import io.ktor.server.request.receive
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import org.orioleferry.coordination.notes.NoteDistribution
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.NoteAccepted
import org.orioleferry.core.api.NoteEntry
import org.orioleferry.core.api.NoteHistory
import org.orioleferry.core.api.PolicyList
import org.orioleferry.core.map
import org.orioleferry.core.model.ReleaseNote
import org.orioleferry.daemon.http.respondOutcome

/** Serves release notes, the configuration in force and the policies. [commit] commits a new note. */
internal fun Route.noteRoutes(
    notes: NoteDistribution,
    commit: suspend (ReleaseNote) -> Outcome<NoteAccepted>,
) {
    post("/v1/notes") {
        call.respondOutcome(commit(call.receive<ReleaseNote>()))
    }
    get("/v1/notes") {
        val after = call.request.queryParameters["after"]?.toLongOrNull() ?: 0
        val outcome = notes.history(after)
        call.respondOutcome(
            outcome.map { committed -> NoteHistory(committed.map { NoteEntry(it.version, it.note) }) },
        )
    }
    get("/v1/notes/status") { call.respond(notes.status()) }
    get("/v1/configuration") { call.respond(notes.configuration.value) }
    get("/v1/policies") {
        val policies = notes.configuration.value.policies
        call.respond(PolicyList(policies.values.sortedBy { it.name }))
    }
}
