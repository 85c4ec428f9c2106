package org.orioleferry.daemon

import org.orioleferry.coordination.membership.InstanceListWatcher
import org.orioleferry.coordination.upstream.Upstream
import org.orioleferry.coordination.upstream.UpstreamDirectory
import org.orioleferry.coordination.upstream.UpstreamEvidence
import org.orioleferry.coordination.upstream.UpstreamState
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.WorkerId
import org.orioleferry.platform.ListedInstance

/** The workers as the platform lists them, without direct evidence. */
internal class ListedUpstreams(
    private val list: InstanceListWatcher,
) : UpstreamDirectory {
    override fun snapshot(): List<Upstream> =
        list.instances.value
            .orEmpty()
            .filter { it.kind == ListedInstance.KIND_WORKER }
            .map { it.toUpstream() }
            .sortedBy { it.id.value }

    override fun report(
        worker: WorkerId,
        evidence: UpstreamEvidence,
    ) = Unit

    private fun ListedInstance.toUpstream(): Upstream {
        val state = if (state == ListedInstance.STATE_LEAVING) UpstreamState.LEAVING else UpstreamState.LIVE
        return Upstream(WorkerId(id), DataCentre(dataCentre), rack, address, state)
    }
}
