package org.orioleferry.core.settings

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import kotlinx.serialization.SerializationException
import org.orioleferry.core.model.ReleaseNote
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Result of reading a release note from a file. */
public sealed interface NoteFileResult {
    /** The file holds [note]. */
    public data class Loaded(
        val note: ReleaseNote,
    ) : NoteFileResult

    /** The file is no release note. */
    public data class Rejected(
        val problem: SettingsProblem,
    ) : NoteFileResult
}

/** Reads the YAML release note at [path]. An unknown key is a mistake. Never throws for a faulty or missing file. */
public fun loadReleaseNote(path: Path): NoteFileResult {
    val file = path.toString()
    val expected = "a release note as in docs/design.md, 5.5"
    return try {
        NoteFileResult.Loaded(Yaml.default.decodeFromString(ReleaseNote.serializer(), Files.readString(path)))
    } catch (e: YamlException) {
        val found = e.message.lineSequence().first()
        NoteFileResult.Rejected(SettingsProblem(file, e.line, e.path.toHumanReadableString(), expected, found))
    } catch (e: SerializationException) {
        NoteFileResult.Rejected(SettingsProblem(file, 0, "", expected, e.message))
    } catch (e: IOException) {
        val found = "an unreadable file: ${e.javaClass.simpleName}"
        NoteFileResult.Rejected(SettingsProblem(file, 0, "", expected, found))
    }
}
