package org.orioleferry.daemon.requests

import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.sharing.ClassLoad

/**
 * What the request path knows of the other entry instances.
 *
 * @property liveInstances instances believed alive, this one included.
 * @property assigned the one of several candidates that handles a key; every instance has to compute the same one.
 * @property loads what every other instance reported last of its classes; the last reports stay in force when the
 * exchange stops.
 */
public class RequestPeers(
    public val liveInstances: () -> Set<InstanceId>,
    public val loads: () -> List<Map<JobClassName, ClassLoad>> = { emptyList() },
    public val assigned: (key: String, candidates: Set<InstanceId>) -> InstanceId,
)
