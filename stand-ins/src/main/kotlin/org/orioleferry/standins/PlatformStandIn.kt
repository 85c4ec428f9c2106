package org.orioleferry.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import org.orioleferry.standins.http.PlatformStandInServer

private class PlatformStandIn : CliktCommand(name = "platform-stand-in") {
    private val port by option(help = "port to listen on, 0 for a free one").int().default(0)
    private val seed by option(help = "seed of the faults that show a share of the calls").long().default(0)
    private val listLagMs by option(help = "lag of the instance list in ms").long().default(DEFAULT_LIST_LAG_MS)

    override fun run() {
        val server = PlatformStandInServer(port, seed, listLagMs)
        serve(
            start = {
                server.start()
                server.port
            },
            stop = server::stop,
        )
    }

    private companion object {
        const val DEFAULT_LIST_LAG_MS = 2_000L
    }
}

/** Starts the stand-in of the platform. */
public fun main(arguments: Array<String>): Unit = PlatformStandIn().main(arguments)
