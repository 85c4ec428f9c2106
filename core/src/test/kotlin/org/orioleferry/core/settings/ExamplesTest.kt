package org.orioleferry.core.settings

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.orioleferry.core.Outcome
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.notes.NoteLimits
import org.orioleferry.core.notes.applyNote
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import java.nio.file.Path

class ExamplesTest {
    private val folder = Path.of("..", "examples")
    private val acceleratorsPerDataCentre = 64

    private fun settings(deployment: String): DaemonSettings {
        val result = DaemonSettings.load(folder.resolve("$deployment.yaml"))
        return expectThat(result).isA<SettingsResult.Loaded>().subject.settings
    }

    // Guards against an example that the daemon rejects, or whose values differ from the defaults that it lists.
    @ParameterizedTest
    @ValueSource(strings = ["kalamata", "omotnica"])
    fun `the settings should load and show the defaults`(deployment: String) {
        val loaded = settings(deployment)
        val defaults = DaemonSettings(loaded.instance, loaded.listen, loaded.platform, loaded.dataCentres)
        expectThat(loaded).isEqualTo(defaults)
    }

    // Guards against a data centre that has no owner after its only instance ends, since no other competes for it.
    @ParameterizedTest
    @ValueSource(strings = ["kalamata", "omotnica"])
    fun `the settings should name all four data centres`(deployment: String) {
        val loaded = settings(deployment)
        expectThat(loaded.domains).hasSize(4).contains(loaded.instance.dataCentre)
    }

    // Guards against an example note that is rejected, or that guarantees more accelerators than a data centre has.
    @ParameterizedTest
    @ValueSource(strings = ["kalamata", "omotnica"])
    fun `the note should be accepted and fit the data centres`(deployment: String) {
        val file = loadReleaseNote(folder.resolve("$deployment-note.yaml"))
        val note = expectThat(file).isA<NoteFileResult.Loaded>().subject.note
        val limits = NoteLimits(settings(deployment).longestDeadlineMs)
        val configuration =
            expectThat(applyNote(Configuration(), note, limits)).isA<Outcome.Success<Configuration>>().subject.value
        expectThat(configuration.workspaces).hasSize(4)
        val guarantees = configuration.workspaces.values.flatMap { it.guarantees }
        expectThat(guarantees.groupBy { it.dataCentre }).hasSize(4).get { values }.all {
            get { sumOf { it.count * it.accelerators } }.isLessThanOrEqualTo(acceleratorsPerDataCentre)
        }
        expectThat(configuration.classes.values.singleOrNull { !it.idempotent }).isNotNull()
    }
}
