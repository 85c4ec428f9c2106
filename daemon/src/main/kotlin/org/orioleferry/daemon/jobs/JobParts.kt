package org.orioleferry.daemon.jobs

import org.orioleferry.coordination.ownership.OwnershipView
import org.orioleferry.coordination.upstream.UpstreamDirectory
import org.orioleferry.core.Clock
import org.orioleferry.core.event.EventSink
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.JobId
import org.orioleferry.platform.TableService
import org.orioleferry.platform.WorkerClientProvider

/**
 * What the job controllers work with.
 *
 * @property configuration the configuration in force at the moment of the call.
 * @property sendHint tells the owner of the job's domain to look at the job; may be lost.
 * @property newSuffix a suffix for a job identifier that no other instance produces.
 */
public class JobParts(
    public val tables: TableService,
    public val upstreams: UpstreamDirectory,
    public val ownership: OwnershipView,
    public val workers: WorkerClientProvider,
    public val configuration: () -> Configuration,
    public val clock: Clock,
    public val events: EventSink,
    public val sendHint: suspend (JobId) -> Unit,
    public val settings: JobSettings = JobSettings(),
    public val newSuffix: () -> String,
)
