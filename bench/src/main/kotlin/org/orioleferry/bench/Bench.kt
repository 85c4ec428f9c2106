package org.orioleferry.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.orioleferry.bench.capacity.CapacityCommand
import org.orioleferry.bench.demo.DemoWorkload
import org.orioleferry.bench.faults.FaultRun
import org.orioleferry.bench.process.Deployment
import org.orioleferry.bench.process.DeploymentSize
import java.nio.file.Files

/** `bench faults`: runs load and random faults against daemon processes. */
internal class FaultsCommand : CliktCommand("faults") {
    private val seed by option(help = "Seed of the load and of the faults").long().default(1)
    private val seconds by option(help = "Time in which faults are caused").long().default(DEFAULT_SECONDS)

    override fun run() {
        val folder = Files.createTempDirectory("orioleferry-faults")
        Deployment(DeploymentSize(DemoWorkload.dataCentres, seed = seed), folder).use { deployment ->
            val isGood =
                runBlocking(Dispatchers.Default) {
                    FaultRun(deployment, seed, seconds * MS_PER_SECOND, ::echo).run()
                }
            echo("logs and settings: $folder")
            if (!isGood) throw ProgramResult(1)
        }
    }

    private companion object {
        const val DEFAULT_SECONDS = 60L
        const val MS_PER_SECOND = 1_000L
    }
}

/** Runs the benchmark command in [args]; the exit code is 0 only when it succeeds. */
public fun main(args: Array<String>): Unit =
    NoOpCliktCommand("bench")
        .subcommands(FaultsCommand(), CapacityCommand())
        .main(args)
