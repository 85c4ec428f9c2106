package org.orioleferry.cli

import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import org.orioleferry.core.settings.DaemonSettings
import org.orioleferry.core.settings.SettingsProblem
import org.orioleferry.core.settings.SettingsResult

internal fun configCommands() = CommandGroup("config", "Settings files").subcommands(ConfigCheck())

@Serializable
internal data class ProblemView(
    val file: String,
    val line: Int,
    val key: String,
    val expected: String,
    val found: String?,
    val hint: String?,
)

internal class ConfigCheck : ToolCommand("check", "Check settings of daemons and the release notes meant for them") {
    private val files by argument("FILE", help = "Settings in YAML").path().multiple(required = true)
    private val notes by option("--note", help = "Release note in YAML, may be given several times").path().multiple()

    override fun run() {
        val results = files.map { DaemonSettings.load(it) }
        val longestDeadlineMs =
            results
                .mapNotNull { (it as? SettingsResult.Loaded)?.settings?.longestDeadlineMs }
                .minOrNull()
        val problems = results.filterIsInstance<SettingsResult.Rejected>().flatMap { it.problems }
        val noteProblems =
            notes.flatMap { note ->
                val definitions = readNote(note)
                (definitions.add.classes + definitions.change.classes)
                    .filter { longestDeadlineMs != null && it.deadlineMs > longestDeadlineMs }
                    .map {
                        val expected = "deadlineMs of at most $longestDeadlineMs, so that a shutdown cuts no request"
                        SettingsProblem("$note", 0, "classes.${it.name}", expected, "${it.deadlineMs}")
                    }
            }
        report(problems + noteProblems)
    }

    private fun report(problems: List<SettingsProblem>) {
        if (isJson) {
            val views = problems.map { ProblemView(it.file, it.line, it.key, it.expected, it.found, it.hint) }
            printJson(toolJson.encodeToJsonElement(ListSerializer(ProblemView.serializer()), views))
        } else {
            problems.forEach { echo(it.toString()) }
            if (problems.isEmpty()) echo("No mistakes found in ${(files + notes).joinToString()}")
        }
        if (problems.isNotEmpty()) exit(ExitCode.USAGE)
    }
}
