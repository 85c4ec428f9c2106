package org.orioleferry.daemon

import org.orioleferry.coordination.membership.Member
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.sharing.ClassLoad
import org.orioleferry.coordination.peer.ClassLoad as WireClassLoad

/** Loads of this instance's classes as they are sent to the peers; idle classes are left out. */
internal fun Map<JobClassName, ClassLoad>.toWire(): Map<JobClassName, WireClassLoad> =
    filterValues { it.demand > 0 }.mapValues { (_, load) -> WireClassLoad(load.queued, load.running) }

/** Loads of the classes on another instance as it last reported them. */
internal fun Member.classLoads(): Map<JobClassName, ClassLoad> =
    load.mapValues { (_, load) -> ClassLoad(load.queued, load.running) }
