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

/** Release notes that change the guarantee and quota of one workspace, the most frequent change by operators. */
internal object NoteSample {
    fun note(index: Int): ReleaseNote {
        val workspace =
            Workspace(
                WorkspaceName("team-${index % WORKSPACES}"),
                guarantees = listOf(Guarantee(Fixture.dataCentre, 1 + index % 2, TASK_ACCELERATORS)),
                quotas = listOf(Quota(Fixture.dataCentre, QUOTA_ACCELERATORS)),
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

    /** Committed note as a daemon holds it after decoding; it shares no strings with other notes. */
    fun committed(index: Int): CommittedNote {
        val digest = "%064x".format(index)
        val committed = CommittedNote(index + 1L, note(index), digest, digest, InstanceId("entry-1"), 0)
        val text = benchJson.encodeToString(CommittedNote.serializer(), committed)
        return benchJson.decodeFromString(CommittedNote.serializer(), text)
    }

    private const val WORKSPACES = 260
    private const val TASK_ACCELERATORS = 8
    private const val QUOTA_ACCELERATORS = 32
}
