package org.orioleferry.bench.demo

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.orioleferry.bench.process.Deployment
import org.orioleferry.bench.process.DeploymentSize
import java.nio.file.Files

/** `bin/demo`: runs the whole system as processes on loopback, with a crash and a graceful shutdown under load. */
internal class Demo : CliktCommand("demo") {
    private val seed by option(help = "Seed of the load").long().default(1)
    private val keep by option(help = "Leave everything running afterwards").flag()

    override fun run() {
        val folder = Files.createTempDirectory("orioleferry-demo")
        val size = DeploymentSize(DemoWorkload.dataCentres, seed = seed)
        Deployment(size, folder).use { deployment ->
            val isGood = runBlocking(Dispatchers.Default) { DemoRun(deployment, seed, ::echo).run() }
            echo("logs and settings: $folder")
            if (keep) waitForTermination(deployment)
            if (!isGood) throw ProgramResult(1)
        }
    }

    private fun waitForTermination(deployment: Deployment) {
        echo("running until this process (${ProcessHandle.current().pid()}) gets Ctrl-C or SIGTERM")
        echo("platform ${deployment.platformUrl}, workers ${deployment.workersUrl}")
        echo("export ORIOLEFERRY_DAEMONS=${deployment.daemons.joinToString(",") { it.baseUrl }}")
        Thread.currentThread().join()
    }
}

/** Runs the demo; the exit code is 0 only when the checkers find no violation. */
public fun main(args: Array<String>): Unit = Demo().main(args)
