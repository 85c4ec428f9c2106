package org.orioleferry.scheduler

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.io.File

class EventPageTest {
    // Guards against a log event that the operators' page does not document.
    @Test
    fun `should document every event in the operators' page`() {
        val root =
            generateSequence(
                File("").absoluteFile,
            ) { it.parentFile }.first { File(it, "docs/OPERATIONS.md").isFile }
        val page = File(root, "docs/OPERATIONS.md").readText()
        expectThat(SchedulerEvent.entries.filter { "`${it.name}`" !in page || "${it.number}" !in page }).isEmpty()
    }
}
