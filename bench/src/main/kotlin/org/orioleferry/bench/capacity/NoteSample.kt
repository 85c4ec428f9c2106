package org.orioleferry.bench.capacity

import org.orioleferry.bench.process.benchJson
import org.orioleferry.coordination.notes.CommittedNote
import org.orioleferry.core.model.Definitions
import org.orioleferry.core.model.Guarantee
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.Quota
import org.orioleferry.core.model.ReleaseNote
import org.orioleferry.core.model.Workspace
import org.orioleferry.core.model.WorkspaceName

/** Notes that change the guarantee and the quota of one workspace, the most frequent change of an operator. */
internal object NoteSample {
    fun note(index: Int): ReleaseNote {
        val workspace =
            Workspace(
                WorkspaceName("team-${index % WORKSPACES}"),
                guarantees = listOf(Guarantee(Sample.domain, 1 + index % 2, ACCELERATORS)),
                quotas = listOf(Quota(Sample.domain, QUOTA)),
            )
        val definitions = Definitions(listOf(workspace))
        val isNew = index < WORKSPACES
        return ReleaseNote(
            "change-$index",
            "operations",
            add = if (isNew) definitions else Definitions(),
            change = if (isNew) Definitions() else definitions,
        )
    }

    /** A committed note as it is held after it was decoded, with strings of its own. */
    fun committed(index: Int): CommittedNote {
        val digest = "%064x".format(index)
        val committed = CommittedNote(index + 1L, note(index), digest, digest, InstanceId("entry-1"), 0)
        val text = benchJson.encodeToString(CommittedNote.serializer(), committed)
        return benchJson.decodeFromString(CommittedNote.serializer(), text)
    }

    private const val WORKSPACES = 260
    private const val ACCELERATORS = 8
    private const val QUOTA = 32
}
