package org.orioleferry.core.event

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

class EventCatalogueTest {
    private val page = Path.of("..", "docs", "events.md")
    private val regenerate = "mvn -q -B -ntp -pl core test -Dtest=EventCatalogueTest -DwriteEventCatalogue=true"

    // Guards against an event that is missing from the page or documented under another number.
    @Test
    fun `the page of events should agree with the catalogue`() {
        if (System.getProperty("writeEventCatalogue") == "true") Files.writeString(page, eventCataloguePage())
        val written = if (Files.exists(page)) Files.readString(page) else ""
        expectThat(written).describedAs("docs/events.md; regenerate with: $regenerate").isEqualTo(eventCataloguePage())
    }

    // Guards against two event types with the same number, which readers of a timeline could not tell apart.
    @Test
    fun `every event type should have its own number`() {
        expectThat(EventType.entries.map { it.number }.toSet()).hasSize(EventType.entries.size)
    }
}
