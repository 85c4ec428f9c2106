package org.orioleferry.daemon.jobs

import org.orioleferry.core.Clock
import org.orioleferry.core.event.EventSink
import org.orioleferry.core.event.EventType
import org.orioleferry.core.gang.StopRules
import org.orioleferry.core.model.JobRecord

/** State and dependencies that the runs of one term share. */
internal class TermContext(
    val guard: OwnershipGuard,
    val writer: JobWriter,
    val settings: JobSettings,
    val clock: Clock,
    private val events: EventSink,
    private val stopRules: (JobRecord) -> StopRules,
    val wake: () -> Unit,
) {
    /** Set once after construction, since the fleet needs the runs of the term. */
    lateinit var fleet: Fleet

    fun stopRules(record: JobRecord): StopRules = stopRules.invoke(record)

    fun emit(
        type: EventType,
        record: JobRecord,
        extra: Map<String, String> = emptyMap(),
    ) {
        val attributes =
            mapOf(
                "job" to record.jobId.value,
                "workspace" to record.workspace.value,
                "attempt" to record.attempt.toString(),
            )
        events(type, attributes + listOfNotNull(record.reason?.let { "reason" to it }) + extra)
    }
}
