package org.orioleferry.cli

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicInteger

class CommandTest {
    @TempDir
    lateinit var folder: Path

    private fun write(
        name: String,
        text: String,
    ): String = Files.writeString(folder.resolve(name), text).toString()

    private fun job(state: String) =
        """{"jobId":"kalamata-a.x","workspace":"w","caller":"c","jobClass":"tally",
        "gang":{"members":1,"acceleratorsPerMember":1},"declaredRunMs":10,"workMs":10,"submittedWallMs":0,
        "state":"$state","reason":"three workers"}"""

    // Guards against exit code 0 for a job that failed or was cancelled, which a script would take for success.
    @Test
    fun `waiting for a job should end with the exit code of its final state`() {
        val expectedCodes =
            mapOf("done" to 0, "failed" to ExitCode.FAILED.code, "cancelled" to ExitCode.FAILED.code)
        expectedCodes.forEach { (end, code) ->
            val polls = AtomicInteger()
            FakeDaemon { call ->
                when {
                    call.line.startsWith("POST") -> 202 to """{"jobId":"kalamata-a.x","state":"queued"}"""
                    polls.incrementAndGet() < 2 -> 200 to job("running")
                    else -> 200 to job(end)
                }
            }.use { daemon ->
                val options = "--workspace w --caller c --class tally --declared-run-ms 10 --wait".split(' ')
                val run = tool("job", "submit", *options.toTypedArray(), "--daemon", daemon.address)
                expectThat(run.exitCode).isEqualTo(code)
                expectThat(run.stdout).contains(end).contains("three workers")
            }
        }
    }

    // Guards against a note that is reported as in force while an instance still has an older version.
    @Test
    fun `waiting for a note should end when all instances have its version`() {
        val polls = AtomicInteger()
        val file = write("note.yaml", "noteId: n-1\nadd: {policies: [{name: default, placement: best-fit}]}")

        fun status(second: Int) =
            """{"head":3,"instances":[{"id":"e-1","dataCentre":"a","version":3},
            {"id":"e-2","dataCentre":"a","version":$second}]}"""
        FakeDaemon { call ->
            when {
                call.line.startsWith("POST") -> 200 to """{"version":3}"""
                polls.incrementAndGet() < 3 -> 200 to status(2)
                else -> 200 to status(3)
            }
        }.use { daemon ->
            val run = tool("note", "apply", file, "--wait", "--daemon", daemon.address)
            expectThat(run.exitCode).isEqualTo(0)
            expectThat(polls.get()).isEqualTo(3)
            polls.set(-1_000)
            val late = tool("note", "apply", file, "--wait", "--wait-ms", "1", "--daemon", daemon.address)
            expectThat(late.exitCode).isEqualTo(ExitCode.TIMED_OUT.code)
            expectThat(late.stderr).contains("e-2")
        }
    }

    // Guards against a diff that does not show that the note cannot be applied.
    @Test
    fun `a diff should show added, changed and withdrawn definitions and problems`() {
        val file =
            write(
                "note.yaml",
                """
                noteId: n-1
                add: {workspaces: [{name: sheds}], classes: [{name: grade}]}
                change: {classes: [{name: tally, weight: 4}]}
                withdraw: {policies: [old]}
                """.trimIndent(),
            )
        val configuration = """{"classes":{"tally":{"name":"tally"},"grade":{"name":"grade"}},"version":1}"""
        FakeDaemon { 200 to configuration }.use { daemon ->
            val run = tool("note", "diff", file, "--daemon", daemon.address)
            expectThat(run.exitCode).isEqualTo(ExitCode.REFUSED.code)
            expectThat(run.stdout.lines())
                .any { isEqualTo("+ workspace sheds") }
                .any { isEqualTo("    problem: already in force; use 'change'") }
                .any { isEqualTo("    weight: 1 -> 4") }
                .any { isEqualTo("- policy old") }
        }
    }

    // Guards against a time line that omits a daemon without notice or is in the order of the answers.
    @Test
    fun `a time line should merge the events of all daemons and name the daemons without an answer`() {
        fun events(
            source: String,
            time: Int,
        ) = """{"events":[{"number":6001,"name":"JOB_ACCEPTED","level":"INFO","source":"$source",
            "logicalTime":$time,"wallMs":0,"attributes":{"job":"a.1"}}]}"""
        FakeDaemon { 200 to events("e-1", 8) }.use { first ->
            FakeDaemon { 200 to events("e-2", 7) }.use { second ->
                val missing = unusedAddress()
                val daemons = "${first.address},$missing,${second.address}"
                val run = tool("timeline", "--job", "a.1", "--daemon", daemons)
                expectThat(run.exitCode).isEqualTo(0)
                expectThat(
                    run.stdout
                        .lines()
                        .drop(1)
                        .take(2)
                        .map { it.trim().substringBefore(' ') },
                ).isEqualTo(listOf("7", "8"))
                expectThat(run.stderr).contains(missing)
                expectThat(second.calls.first().line).isEqualTo("GET /v1/events?job=a.1")
            }
        }
    }

    // Guards against settings that pass the check although the daemon rejects them at startup.
    @Test
    fun `checking settings should print every mistake with its line`() {
        val file = write("entry.yaml", "instance: {id: e-1}\nlisten: {host: x, httpPort: 1, peerPort: 2}\n")
        val run = tool("config", "check", file)
        expectThat(run.exitCode).isEqualTo(ExitCode.USAGE.code)
        expectThat(
            run.stdout
                .lines()
                .filter { it.startsWith(file) }
                .map { it.removePrefix("$file:").substringBefore(':') },
        ).isEqualTo(listOf("1", "1", "2"))
    }

    // Guards against JSON output that differs from the daemon's answer, which scripts parse.
    @Test
    fun `json output should be the daemon's answer`() {
        val workers = """{"workers":[]}"""
        FakeDaemon { 200 to workers }.use { daemon ->
            val run = tool("workers", "-o", "json", "--daemon", daemon.address)
            expectThat(run.stdout.filterNot { it.isWhitespace() }).isEqualTo(workers)
        }
    }
}
