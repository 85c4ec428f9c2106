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
 * Dependencies of the job controllers.
 *
 * @property configuration returns the configuration that is in force at the time of the call.
 * @property sendHint asks the owner of the job's domain to read its inbox at once; the message may be lost.
 * @property newSuffix creates a suffix for a job identifier that no other instance creates.
 */
public class JobDependencies(
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
