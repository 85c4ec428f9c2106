package org.orioleferry.daemon.requests

import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.sharing.ClassLoad

/**
 * Functions through which the request path learns about the other entry instances.
 *
 * @property liveInstances instances believed alive, this one included.
 * @property selectHandler selects the candidate that handles a key; every instance has to select the same one.
 * @property loads last load report of each other instance, by class; the last reports stay in use when the exchange
 * stops.
 */
public class RequestPeers(
    public val liveInstances: () -> Set<InstanceId>,
    public val loads: () -> List<Map<JobClassName, ClassLoad>> = { emptyList() },
    public val selectHandler: (key: String, candidates: Set<InstanceId>) -> InstanceId,
)
