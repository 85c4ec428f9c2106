package org.orioleferry.coordination.notes

import kotlinx.serialization.Serializable
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.ReleaseNote

/**
 * A release note as it stands in the table `notes`.
 *
 * @property digest SHA-256 in hexadecimal of the previous digest and the note, so that a chain can be verified.
 * @property committedWallMs wall clock of the committing instance, for display.
 */
@Serializable
public data class CommittedNote(
    val version: Long,
    val note: ReleaseNote,
    val digest: String,
    val instance: InstanceId,
    val committedWallMs: Long,
)
