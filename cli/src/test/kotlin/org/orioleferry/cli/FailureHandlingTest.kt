package org.orioleferry.cli

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class FailureHandlingTest {
    private val answer = """{"requestId":"r-1","outcome":"done","result":"credited","worker":"w-1"}"""
    private val send =
        arrayOf("request", "send", "--workspace", "sheds", "--caller", "shed-7", "--class", "shed-credit")

    private fun error(
        code: String,
        notRun: Boolean,
    ) = """{"error":{"code":"$code","message":"text","notRun":$notRun,"details":{"limit":"4"}}}"""

    // Guards against a command that fails because the first daemon is down.
    @Test
    fun `a daemon that accepts no connection should be skipped`() {
        FakeDaemon { 200 to answer }.use { second ->
            val run = tool(*send, "--daemon", unusedAddress(), "--daemon", second.address)
            expectThat(run) {
                get { exitCode }.isEqualTo(0)
                get { stdout }.isEqualTo("credited\n")
            }
        }
    }

    // Guards against a request that runs twice because the tool sent it to a second daemon.
    @Test
    fun `a request without a key should not be sent again after it may have been received`() {
        ClosingDaemon().use { first ->
            FakeDaemon { 200 to answer }.use { second ->
                val run = tool(*send, "--daemon", first.address, "--daemon", second.address)
                expectThat(run.exitCode).isEqualTo(ExitCode.OUTCOME_UNKNOWN.code)
                expectThat(run.stderr).contains("outcome is unknown")
                expectThat(second.calls).isEmpty()
            }
        }
    }

    // Guards against a lost answer that fails the command although the key makes a repeat safe.
    @Test
    fun `a request with a key should be sent again to the next daemon`() {
        ClosingDaemon().use { first ->
            FakeDaemon { 200 to answer }.use { second ->
                val run = tool(*send, "--key", "k-1", "--daemon", "${first.address},${second.address}")
                expectThat(run.exitCode).isEqualTo(0)
                expectThat(second.calls).hasSize(1).get { first().body }.contains("k-1")
            }
        }
    }

    // Guards against a false "not run": the second daemon's refusal does not cover the attempt that the first received.
    @Test
    fun `a refusal after an attempt that may have been received should leave the outcome unknown`() {
        ClosingDaemon().use { first ->
            FakeDaemon { 429 to error("QUEUE_FULL", true) }.use { second ->
                val run = tool(*send, "--key", "k-1", "--daemon", "${first.address},${second.address}")
                expectThat(run.exitCode).isEqualTo(ExitCode.OUTCOME_UNKNOWN.code)
                expectThat(run.stderr).contains("QUEUE_FULL").contains(first.address).contains("--key k-1 again")
            }
        }
    }

    // Guards against a job accepted in two data centres, since each daemon may choose a different one.
    @Test
    fun `a job should be sent again only when its data centre is given`() {
        val submit =
            arrayOf("job", "submit", "--workspace", "w", "--caller", "c", "--class", "tally", "--declared-run-ms", "10")
        val accepted = """{"jobId":"kalamata-a.x","state":"queued"}"""
        ClosingDaemon().use { first ->
            FakeDaemon { 202 to accepted }.use { second ->
                val daemons = arrayOf("--daemon", first.address, "--daemon", second.address)
                expectThat(tool(*submit, *daemons).exitCode).isEqualTo(ExitCode.OUTCOME_UNKNOWN.code)
                expectThat(second.calls).isEmpty()
                expectThat(tool(*submit, *daemons, "--data-centre", "kalamata-a").exitCode).isEqualTo(0)
            }
        }
    }

    // Guards against an exit code that reports an unknown outcome as a refusal.
    @Test
    fun `typed errors should be shown and mapped to exit codes`() {
        listOf(
            Triple("QUEUE_FULL", true, ExitCode.REFUSED),
            Triple("OUTCOME_UNKNOWN", false, ExitCode.OUTCOME_UNKNOWN),
            Triple("UPSTREAM_FAILED", false, ExitCode.FAILED),
            Triple("INTERNAL", false, ExitCode.OUTCOME_UNKNOWN),
        ).forEach { (code, notRun, expected) ->
            FakeDaemon { 503 to error(code, notRun) }.use { daemon ->
                val run = tool(*send, "--daemon", daemon.address)
                expectThat(run.exitCode).isEqualTo(expected.code)
                expectThat(run.stderr).contains(code).contains("text").contains("limit: 4")
            }
        }
    }

    // Guards against a command that ends at the refusal of a draining daemon although others still serve.
    @Test
    fun `a draining daemon should be skipped`() {
        FakeDaemon { 503 to error("DRAINING", true) }.use { first ->
            FakeDaemon { 200 to answer }.use { second ->
                expectThat(tool(*send, "--daemon", first.address, "--daemon", second.address).exitCode).isEqualTo(0)
                expectThat(tool(*send, "--daemon", first.address).exitCode).isEqualTo(ExitCode.REFUSED.code)
            }
        }
    }

    // Guards against an unreachable deployment without an explanation, and an invalid answer reported as success.
    @Test
    fun `no answer, an invalid answer and wrong usage should have different exit codes`() {
        val address = unusedAddress()
        val run = tool("workers", "--daemon", address)
        expectThat(run.exitCode).isEqualTo(ExitCode.NO_DAEMON.code)
        expectThat(run.stderr).contains(address)
        FakeDaemon { 200 to "<html>" }.use { daemon ->
            expectThat(tool("workers", "--daemon", daemon.address).exitCode).isEqualTo(ExitCode.INVALID_ANSWER.code)
            expectThat(tool(*send, "--daemon", daemon.address).exitCode).isEqualTo(ExitCode.OUTCOME_UNKNOWN.code)
        }
        expectThat(tool("workers", "--no-such-option").exitCode).isEqualTo(ExitCode.USAGE.code)
        expectThat(tool("workers").exitCode).isEqualTo(ExitCode.USAGE.code)
        expectThat(tool("--help").exitCode).isEqualTo(0)
        expectThat(tool("--generate-completion", "bash").stdout).contains("complete")
    }
}
