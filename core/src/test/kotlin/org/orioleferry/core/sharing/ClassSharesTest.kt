package org.orioleferry.core.sharing

import org.junit.jupiter.api.Test
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.JobClassName
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.math.abs

class ClassSharesTest {
    private val credit = JobClass(JobClassName("credit"), 0, weight = 8, floorShare = 0.1)
    private val grade = JobClass(JobClassName("grade"), 9, weight = 1, floorShare = 0.25)
    private val classes = listOf(credit, grade)

    // Guards against a floor that is kept only when the weight of the class already gives it as much.
    @Test
    fun `shares should respect floors and add up to one`() {
        val shares = ClassShares.contendedShares(classes)
        expectThat(shares.getValue(grade.name)).isEqualTo(0.25)
        expectThat(abs(shares.values.sum() - 1.0)).isLessThanOrEqualTo(1e-9)
        val scaled = ClassShares.contendedShares(classes.map { it.copy(floorShare = 0.8) })
        expectThat(scaled.values.toList()).isEqualTo(listOf(0.5, 0.5))
    }

    // Guards against a flood at some instances taking the slots of a class whose requests arrive at another instance.
    @Test
    fun `instances that see only the flood should leave the floor to the others`() {
        val flood = mapOf(credit.name to ClassLoad(queued = 500, running = 100))
        val other = mapOf(grade.name to ClassLoad(queued = 100, running = 4))
        val atFlooded = ClassShares.computeLocalCaps(classes, 256, flood, listOf(flood, other))
        val atOther = ClassShares.computeLocalCaps(classes, 256, other, listOf(flood, flood))
        expectThat(2 * atFlooded.getValue(credit.name)).isLessThanOrEqualTo(192)
        expectThat(atOther.getValue(grade.name)).isGreaterThanOrEqualTo(64)
    }

    // Guards against slots that stay idle because a class is limited although no other class needs them.
    @Test
    fun `no class should be limited without contention and unused shares should go to the others`() {
        val light = mapOf(credit.name to ClassLoad(running = 100))
        expectThat(ClassShares.computeLocalCaps(classes, 256, light, listOf(light))).isEqualTo(emptyMap())
        val flood = mapOf(credit.name to ClassLoad(queued = 900, running = 100), grade.name to ClassLoad(running = 4))
        expectThat(ClassShares.computeLocalCaps(classes, 256, flood, emptyList()).getValue(credit.name)).isEqualTo(251)
    }
}
