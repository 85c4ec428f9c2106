package org.orioleferry.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import org.orioleferry.core.model.DataCentre
import org.orioleferry.standins.http.WorkerStandInServer

private class WorkerStandIn : CliktCommand(name = "worker-stand-in") {
    private val port by option(help = "port to listen on, 0 for a free one").int().default(0)
    private val platform by option(help = "base URL of the platform whose list the workers join")
    private val dataCentres by option(help = "names, separated by commas").split(",").required()
    private val workers by option(help = "number of workers").int().restrictTo(min = 1).required()
    private val racksOf by option(help = "workers in one rack").int().restrictTo(min = 1).default(6)
    private val slots by option(help = "request slots of a worker").int().default(8)
    private val accelerators by option(help = "accelerators of a worker").int().default(8)
    private val cores by option(help = "cores of a worker").int().default(32)
    private val memoryMb by option(help = "memory of a worker in MB").int().default(131_072)
    private val firstNumber by option(help = "number of the first worker").int().restrictTo(min = 1).default(1)
    private val seed by option(help = "seed of the faults that show a share of the calls").long().default(0)

    override fun run() {
        val server = WorkerStandInServer(toFleet(), platform, port, seed)
        serve(
            start = {
                server.start()
                server.port
            },
            stop = server::stop,
        )
    }

    private fun toFleet(): WorkerFleet =
        WorkerFleet(
            dataCentres = dataCentres.map { DataCentre(it.trim()) },
            workers = workers,
            workersPerRack = racksOf,
            slots = slots,
            accelerators = accelerators,
            cores = cores,
            memoryMb = memoryMb,
            firstNumber = firstNumber,
        )
}

/** Starts the stand-in of the workers. */
public fun main(arguments: Array<String>): Unit = WorkerStandIn().main(arguments)
