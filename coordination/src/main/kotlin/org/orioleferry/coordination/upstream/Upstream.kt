package org.orioleferry.coordination.upstream

import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.WorkerId

/** State of a worker as seen by one instance. Only a [LIVE] worker gets new work. */
public enum class UpstreamState { LIVE, SUSPECT, LEAVING, DEAD, QUARANTINED }

/** A worker as this instance sees it. [baseUrl] is the base of the worker's API. */
public data class Upstream(
    val id: WorkerId,
    val dataCentre: DataCentre,
    val rack: String,
    val baseUrl: String,
    val state: UpstreamState,
)

/** Direct evidence about a worker, which takes precedence over the platform's lagging list. */
public enum class UpstreamEvidence {
    /** The worker answered a request, a command or a probe. */
    ANSWERED,

    /** No connection, or no answer before the deadline. */
    UNREACHABLE,

    /** The worker itself says that it is leaving. */
    LEAVING,

    /** Work that was started on the worker failed there. */
    WORK_FAILED,

    /** Work that was started on the worker ended well. */
    WORK_SUCCEEDED,
}

/** Directory of the workers, merged from the platform's list, direct evidence and peers' reports. */
public interface UpstreamDirectory {
    /** All known workers, in the order of their names. */
    public fun snapshot(): List<Upstream>

    /** Adds one piece of direct evidence about [worker]. */
    public fun report(
        worker: WorkerId,
        evidence: UpstreamEvidence,
    )
}
