package org.orioleferry.core.settings

import org.junit.jupiter.api.Test
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.InstanceId
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.map
import java.nio.file.Path

class DaemonSettingsTest {
    private val minimal =
        """
        instance: {id: entry-1, dataCentre: kalamata-a}
        listen: {host: 127.0.0.1, httpPort: 7101, peerPort: 7201}
        platform: {baseUrl: "http://127.0.0.1:7000"}
        """.trimIndent()

    private fun problemsOf(text: String): List<SettingsProblem> =
        when (val result = DaemonSettings.parse(text, "entry.yaml")) {
            is SettingsResult.Loaded -> emptyList()
            is SettingsResult.Rejected -> result.problems
        }

    // Guards against defaults that differ between the parser and the data classes.
    @Test
    fun `a file with only the required keys should give the defaults of the data classes`() {
        val expected =
            DaemonSettings(
                InstanceSettings(InstanceId("entry-1"), DataCentre("kalamata-a")),
                ListenSettings("127.0.0.1", 7101, 7201),
                PlatformSettings("http://127.0.0.1:7000"),
            )
        expectThat(DaemonSettings.parse(minimal, "entry.yaml")).isEqualTo(SettingsResult.Loaded(expected))
    }

    // Guards against a report of only the first mistake, which makes an operator correct a file one mistake at a time.
    @Test
    fun `five different mistakes should all be named with their lines`() {
        val text =
            """
            instance: {id: entry-1}
            listen: {host: localhost, httpPort: 7101, peerPort: 7201}
            platform: {baseUrl: "http://127.0.0.1:7000"}
            ownership:
              ttl: 1.5s
              renewMs: -5
            membership: {suspectMs: 7000}
            """.trimIndent()
        val problems = problemsOf(text)
        expectThat(problems).map { it.line to it.key }.containsExactly(
            1 to "instance.dataCentre",
            2 to "listen.host",
            5 to "ownership.ttl",
            6 to "ownership.renewMs",
            7 to "membership.suspectMs",
        )
        expectThat(problems[2].hint).isEqualTo("did you mean ttlMs: 1500?")
        expectThat(problems[4].toString())
            .isEqualTo("entry.yaml:7: membership.suspectMs: expected less than deadMs (6000), found 7000")
    }

    // Guards against reading a value in another unit as milliseconds or bytes.
    @Test
    fun `an amount with a unit should be refused with the amount in the expected unit`() {
        val problems = problemsOf("$minimal\nownership: {ttlMs: 1.5s}\nrequests: {maxBodyBytes: 64KiB}")
        expectThat(problems).map { it.hint }.containsExactly(
            "1.5s is 1500 in this unit",
            "64KiB is 65536 in this unit",
        )
    }

    // Guards against individually valid settings that together violate a bound of docs/design.md.
    @Test
    fun `impossible combinations should be reported`() {
        listOf(
            "ownership: {renewMs: 550}" to "ownership.renewMs",
            "ownership: {ttlMs: 1200, renewMs: 400}" to "platform.deadlineMs",
            "membership: {heartbeatMs: 2000}" to "membership.heartbeatMs",
            "requests: {defaultDeadlineMs: 29001}" to "requests.defaultDeadlineMs",
            "drain: {limitMs: 1000}" to "drain.refuseAfterMs",
            "jobs: {taskLeaseTtlMs: 1000}" to "jobs.taskLeaseTtlMs",
        ).forEach { (section, key) ->
            expectThat(problemsOf("$minimal\n$section")).any { get { this.key }.isEqualTo(key) }
        }
        val samePort = minimal.replace("7201", "7101")
        expectThat(problemsOf(samePort)).hasSize(1).get { single().key }.isEqualTo("listen.peerPort")
    }

    // Guards against host names, since the platform offers no name lookup.
    @Test
    fun `only literal addresses that peers can reach should be accepted`() {
        listOf("entry-1.example", "0.0.0.0", "256.1.1.1", "::", "127.1", "").forEach { host ->
            val problems = problemsOf(minimal.replace("host: 127.0.0.1", "host: \"$host\""))
            expectThat(problems).map { it.key }.contains("listen.host")
        }
        expectThat(problemsOf(minimal.replace("host: 127.0.0.1", "host: \"::1\""))).hasSize(0)
        expectThat(problemsOf(minimal.replace("//127.0.0.1:7000", "//store:7000"))).hasSize(1)
    }

    // Guards against an exception instead of a report for a file that is not a settings file.
    @Test
    fun `files that are empty, malformed or missing or that repeat a section should be reported`() {
        expectThat(problemsOf("")).hasSize(1)
        expectThat(problemsOf("- a\n- b")).hasSize(1)
        expectThat(problemsOf("$minimal\nnotes: [").first().line).isEqualTo(4)
        expectThat(problemsOf("$minimal\ninstance: {id: entry-2}").first().line).isEqualTo(4)
        expectThat(problemsOf("$minimal\nnotes: 5")).map { it.key }.containsExactly("notes")
        expectThat(DaemonSettings.load(Path.of("no-such-file.yaml"))).isA<SettingsResult.Rejected>()
    }
}
