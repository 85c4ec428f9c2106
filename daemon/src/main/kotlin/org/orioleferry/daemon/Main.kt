package org.orioleferry.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.orioleferry.core.SystemClock
import org.orioleferry.core.settings.DaemonSettings
import org.orioleferry.core.settings.SettingsResult
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger

/** `orioleferryd`: checks the settings, runs the daemon and drains it on SIGTERM. */
internal class DaemonCommand : CliktCommand("orioleferryd") {
    private val config by option(help = "Settings file").path().required()

    override fun run() {
        when (val result = DaemonSettings.load(config)) {
            is SettingsResult.Loaded -> serve(result.settings)
            is SettingsResult.Rejected -> {
                result.problems.forEach { echo(it, err = true) }
                throw ProgramResult(SETTINGS_EXIT_CODE)
            }
        }
    }

    private fun serve(settings: DaemonSettings) {
        val daemon = Daemon(settings, SystemClock)
        val completionLatch = CountDownLatch(1)
        val exitCode = AtomicInteger(FAILURE_EXIT_CODE)
        // The hook keeps the process alive until the drain has finished. Without the halt the exit code would be
        // that of a process that was ended by a signal.
        Runtime.getRuntime().addShutdownHook(
            Thread {
                daemon.requestStop()
                completionLatch.await()
                Runtime.getRuntime().halt(exitCode.get())
            },
        )
        try {
            runBlocking(Dispatchers.Default) { daemon.run(::echo) }
            exitCode.set(0)
        } finally {
            completionLatch.countDown()
        }
    }

    private companion object {
        const val FAILURE_EXIT_CODE = 1
        const val SETTINGS_EXIT_CODE = 2
    }
}

/** Entry point of the daemon. */
public fun main(args: Array<String>): Unit = DaemonCommand().main(args)
