package org.orioleferry.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand

/** A command that only groups others. */
internal class CommandGroup(
    name: String,
    private val summary: String,
) : NoOpCliktCommand(name) {
    override fun help(context: Context): String = summary
}
