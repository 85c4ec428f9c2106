package org.orioleferry.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand

/** Command without an action of its own that groups subcommands. */
internal class CommandGroup(
    name: String,
    private val summary: String,
) : NoOpCliktCommand(name) {
    override fun help(context: Context): String = summary
}
