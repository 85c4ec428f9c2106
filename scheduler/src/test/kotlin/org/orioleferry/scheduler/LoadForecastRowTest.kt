package org.orioleferry.scheduler

import kotlinx.serialization.Serializable
import org.junit.jupiter.api.Test
import org.orioleferry.core.ManualClock
import org.orioleferry.scheduler.model.LoadForecast
import org.orioleferry.scheduler.model.ServiceWait
import org.orioleferry.scheduler.owner.ComputedForecast
import org.orioleferry.scheduler.owner.ForecastObserver
import org.orioleferry.scheduler.owner.LeaseValue
import org.orioleferry.scheduler.owner.boundedWaits
import org.orioleferry.scheduler.store.Rows
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNull

/** The forecast in the lease row, as owners write it and other instances read it. */
class LoadForecastRowTest {
    /** The lease row as a version without forecasts reads it. */
    @Serializable
    private data class EarlierLease(
        val holder: String,
        val epoch: Long,
        val renewals: Long,
        val ttlMs: Long = 0,
        val saturatedWorkspaces: Set<String> = emptySet(),
    )

    private val clock = ManualClock(100_000, 1_700_000_000_000)
    private val forecast = LoadForecast(listOf(ServiceWait("pool", 1, 9_000, 7_000)), 300)
    private val plain = LeaseValue("one", 3, 7, 1_700, setOf("flood"), 42, true)

    private fun encode(value: LeaseValue) = Rows.json.encodeToString(LeaseValue.serializer(), value)

    // Guards against a lease row that changes where no forecast is in force, or that versions before and after it cannot read.
    @Test
    fun `should leave the lease row as it was without a forecast and readable for earlier versions with one`() {
        val before =
            """{"holder":"one","epoch":3,"renewals":7,"ttlMs":1700,"saturatedWorkspaces":["flood"],""" +
                """"runLeasesEndMs":42,"boundsRunLeases":true}"""
        expectThat(encode(plain)).isEqualTo(before)
        expectThat(Rows.json.decodeFromString(LeaseValue.serializer(), before)).isEqualTo(plain)
        val written = encode(plain.copy(forecast = forecast))
        expectThat(Rows.json.decodeFromString(LeaseValue.serializer(), written).forecast).isEqualTo(forecast)
        val earlier = Rows.json.decodeFromString(EarlierLease.serializer(), written)
        expectThat(earlier).isEqualTo(EarlierLease("one", 3, 7, 1_700, setOf("flood")))
    }

    // Guards against a lease row that grows with the number of services and priorities: 500 that all wait, some of them with
    // names that take much more space when they are encoded.
    @Test
    fun `should keep the forecast within its part of the row and name the longest waits`() {
        val waits = List(500) { ServiceWait("service-$it", 1, 5_000L + it) }
        val bounded = boundedWaits(waits)
        val bytes = encode(plain.copy(forecast = LoadForecast(bounded, 2_999))).length - encode(plain).length
        expectThat(bytes).isLessThan(2_148)
        expectThat(bounded.size).isGreaterThan(25)
        expectThat(bounded).isEqualTo(waits.reversed().take(bounded.size))
        val longNames = List(500) { ServiceWait("\u0001".repeat(600) + it, 1, 50_000) }
        expectThat(boundedWaits(longNames + waits).map { it.service }).isEqualTo(bounded.map { it.service })
    }

    // Guards against a forecast of a lost owner that seems recent because it was read late, by its age at an instance that read
    // it 0.5 s after the call before, and at one that stood still for 10 s between the two.
    @Test
    fun `should count the age of a forecast from the latest time at which it cannot have been written`() {
        val observer = ForecastObserver(clock)
        val sentAt = clock.now()
        clock.advance(500)
        observer.onChanged(plain.copy(forecast = forecast), sentAt)
        expectThat(observer.current()?.ageMs).isEqualTo(800)
        clock.advance(2_300)
        expectThat(observer.current()?.ageMs).isEqualTo(3_100)
        val nextSentAt = clock.now()
        clock.stepWall(10_000)
        observer.onChanged(plain.copy(forecast = forecast), nextSentAt)
        expectThat(observer.current()?.ageMs).isEqualTo(10_300)
        observer.onChanged(plain.copy(forecast = forecast.copy(ageMs = Long.MAX_VALUE)), clock.now())
        expectThat(observer.current()!!.ageMs).isGreaterThan(3_000)
    }

    // Guards against a forecast that outlives the row that held it: the next owner's row, or a damaged one.
    @Test
    fun `should forget the forecast with the row that held it`() {
        val observer = ForecastObserver(clock)
        observer.onChanged(plain.copy(forecast = forecast), clock.now())
        observer.onChanged(plain.copy(holder = "two"), clock.now())
        expectThat(observer.current()).isNull()
        observer.onChanged(plain.copy(forecast = forecast), clock.now())
        observer.onChanged(null, clock.now())
        expectThat(observer.current()).isNull()
    }

    // Guards against renewals that go on with the forecast of an update that no longer runs, and against a field in the row of
    // an owner without any wait.
    @Test
    fun `should tell the age of the owner's own forecast and none without a wait`() {
        val computed = ComputedForecast(forecast.waits, clock.now())
        clock.advance(5_000)
        expectThat(computed.at(clock)).isEqualTo(forecast.copy(ageMs = 5_000))
        expectThat(ComputedForecast(emptyList(), clock.now()).at(clock)).isNull()
        expectThat(boundedWaits(emptyList())).hasSize(0)
    }
}
