package org.orioleferry.daemon.requests

import org.orioleferry.core.model.InstanceId

/**
 * What the request path knows of the other entry instances.
 *
 * @property liveInstances instances believed alive, this one included.
 * @property assigned the one of several candidates that handles a key; every instance has to compute the same one.
 */
public class RequestPeers(
    public val liveInstances: () -> Set<InstanceId>,
    public val assigned: (key: String, candidates: Set<InstanceId>) -> InstanceId,
)
