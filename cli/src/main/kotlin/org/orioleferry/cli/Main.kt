package org.orioleferry.cli

import com.github.ajalt.clikt.completion.completionOption
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.core.terminal
import com.github.ajalt.mordant.terminal.Terminal
import kotlin.system.exitProcess

/** Runs the operators' command-line tool and ends the process with its exit code. */
public fun main(args: Array<String>) {
    exitProcess(runTool(args.toList(), null))
}

/** Runs the tool on [terminal], or on the terminal of the process when null, and returns the exit code. */
internal fun runTool(
    args: List<String>,
    terminal: Terminal?,
): Int {
    val command = rootCommand()
    if (terminal != null) command.context { this.terminal = terminal }
    return try {
        command.parse(args)
        ExitCode.OK.code
    } catch (e: CliktError) {
        command.echoFormattedHelp(e)
        if (e is UsageError) ExitCode.USAGE.code else e.statusCode
    }
}

private class Orioleferry : CliktCommand("orioleferry") {
    init {
        completionOption("--generate-completion", help = "Print a completion script for a shell")
    }

    override fun help(context: Context): String = "Operates an orioleferry deployment through any of its daemons."

    override fun helpEpilog(context: Context): String =
        "Exit codes: " + ExitCode.entries.joinToString("; ") { "${it.code} ${it.meaning}" } + "."

    override fun run() = Unit
}

internal fun rootCommand(): CliktCommand =
    Orioleferry().subcommands(
        noteCommands(),
        jobCommands(),
        requestCommands(),
        Workers(),
        Workspaces(),
        Instances(),
        Timeline(),
        LateCommand(),
        CommandGroup("policy", "Placement policies").subcommands(PolicyListCommand(), PolicyCompare()),
        configCommands(),
    )
