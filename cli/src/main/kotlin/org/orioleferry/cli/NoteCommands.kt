package org.orioleferry.cli

import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.coroutines.delay
import org.orioleferry.core.api.NoteAccepted
import org.orioleferry.core.api.NoteHistory
import org.orioleferry.core.api.NoteStatus
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.ReleaseNote
import org.orioleferry.core.settings.NoteFileResult
import org.orioleferry.core.settings.loadReleaseNote
import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

internal fun noteCommands() =
    CommandGroup(
        "note",
        "Release notes",
    ).subcommands(NoteApply(), NoteDiff(), NoteStatusCommand(), NoteHistoryCommand())

internal fun ToolCommand.readNote(path: Path): ReleaseNote =
    when (val result = loadReleaseNote(path)) {
        is NoteFileResult.Loaded -> {
            result.note
        }

        is NoteFileResult.Rejected -> {
            echo(result.problem.toString(), err = true)
            exit(ExitCode.USAGE)
        }
    }

internal class NoteApply : DaemonCommand("apply", "Commit a release note; applying it again is safe") {
    private val file by argument("FILE", help = "Release note in YAML").path()
    private val wait by option("--wait", help = "Wait until the note is in force on all instances").flag()
    private val waitMs by option("--wait-ms", help = "Longest wait in milliseconds").long().default(60_000)

    override suspend fun execute(client: DaemonClient) {
        val note = readNote(file)
        val call = postCall("/v1/notes", ReleaseNote.serializer(), note, isRepeatable = true)
        val recoveryHint = "Apply the same file again: the note ${note.noteId} takes effect at most once."
        val answer = client.call(call, recoveryHint)
        val accepted = answer.decode(NoteAccepted.serializer())
        if (wait) client.waitUntilInForce(accepted.version)
        val state = if (accepted.alreadyApplied) "was already applied as" else "is accepted as"
        val inForce = if (wait) " and in force on all instances" else ""
        if (isJson) printJson(answer) else echo("Note ${note.noteId} $state version ${accepted.version}$inForce")
    }

    private suspend fun DaemonClient.waitUntilInForce(version: Long) {
        val start = TimeSource.Monotonic.markNow()
        while (true) {
            val status = call(getCall("/v1/notes/status")).decode(NoteStatus.serializer())
            val upToDate = status.instances.count { it.version >= version }
            showProgress("version $version in force on $upToDate of ${status.instances.size} instances")
            if (upToDate == status.instances.size && upToDate > 0) return endProgress()
            if (start.elapsedNow() > waitMs.milliseconds) {
                endProgress()
                val behind = status.instances.filter { it.version < version }.joinToString { "${it.id}" }
                echo("Version $version is not in force yet on: $behind", err = true)
                exit(ExitCode.TIMED_OUT)
            }
            delay(NOTE_POLL_MS)
        }
    }

    private companion object {
        const val NOTE_POLL_MS = 250L
    }
}

internal class NoteDiff : DaemonCommand("diff", "Show what a release note would change") {
    private val file by argument("FILE", help = "Release note in YAML").path()

    override suspend fun execute(client: DaemonClient) {
        val note = readNote(file)
        val configuration = client.call(getCall("/v1/configuration")).decode(Configuration.serializer())
        val differences = differences(configuration, note)
        if (isJson) printJson(differences.toJson()) else differences.forEach { echo(it.toString()) }
        if (!isJson && differences.isEmpty()) echo("The note changes nothing.")
        if (differences.any { it.problem != null }) exit(ExitCode.REFUSED)
    }
}

internal class NoteStatusCommand : DaemonCommand("status", "Show the version in force on each instance") {
    override suspend fun execute(client: DaemonClient) =
        client.show(
            "/v1/notes/status",
            NoteStatus.serializer(),
            listOf("instance", "data centre", "version", "behind head"),
        ) { status ->
            status.instances.map {
                listOf(
                    "${it.id}",
                    "${it.dataCentre}",
                    "${it.version}",
                    "${status.head - it.version}",
                )
            }
        }
}

internal class NoteHistoryCommand : DaemonCommand("history", "List the committed release notes") {
    override suspend fun execute(client: DaemonClient) =
        client.show(
            "/v1/notes",
            NoteHistory.serializer(),
            listOf("version", "note", "author", "added", "changed", "withdrawn"),
        ) { history ->
            history.notes.map { (version, note) ->
                val withdrawn = note.withdraw.run { workspaces.size + classes.size + policies.size }
                val added = note.add.run { workspaces.size + classes.size + policies.size }
                val changed = note.change.run { workspaces.size + classes.size + policies.size }
                listOf("$version", note.noteId, note.author, "$added", "$changed", "$withdrawn")
            }
        }
}
