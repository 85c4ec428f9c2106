package org.orioleferry.scheduler.model

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ResourcesTest {
    // Guards against tasks that start on a worker which is over its capacity in a resource that they do not need.
    @Test
    fun `should fit nothing into an amount of which a part is negative`() {
        val need = Resources(0, 1_000, 0)
        expectThat(Resources(-1, 8_000, 8).countFitting(need, 4)).isEqualTo(0)
        expectThat(Resources(8_000, 8_000, -1).countFitting(need, 4)).isEqualTo(0)
        expectThat(Resources(0, 8_000, 0).countFitting(need, 4)).isEqualTo(4)
    }
}
