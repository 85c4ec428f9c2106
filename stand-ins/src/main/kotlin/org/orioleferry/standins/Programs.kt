package org.orioleferry.standins

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.core.ConsoleAppender
import kotlinx.coroutines.runBlocking
import org.slf4j.LoggerFactory
import java.util.concurrent.CountDownLatch

/** Starts a server, announces its port on standard output and stops it on SIGTERM. */
internal fun serve(
    start: suspend () -> Int,
    stop: suspend () -> Unit,
) {
    logToStandardError()
    val port = runBlocking { start() }
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            runBlocking { stop() }
            stopped.countDown()
        },
    )
    println("listening on $port")
    stopped.await()
}

/** Callers read the port from standard output, so no log line may appear there. */
private fun logToStandardError() {
    val root = LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) as? Logger ?: return
    root.level = Level.WARN
    root.iteratorForAppenders().asSequence().filterIsInstance<ConsoleAppender<*>>().forEach { appender ->
        appender.stop()
        appender.target = "System.err"
        appender.start()
    }
}
