package org.orioleferry.scheduler.placement

import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.JobSchedule
import org.orioleferry.scheduler.model.JobSpec
import org.orioleferry.scheduler.model.LoadForecast
import org.orioleferry.scheduler.model.QueuePolicy
import org.orioleferry.scheduler.model.Resources
import org.orioleferry.scheduler.model.ServiceWait
import org.orioleferry.scheduler.model.StepSpec
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class AdmissionPolicyTest {
    private val cores = StepSpec(13, Resources(52_000, 64_000, 0), 10_000, isGang = true)
    private val accelerator = StepSpec(1, Resources(1_000, 8_000, 1), 8_000)

    private fun jobOf(
        vararg steps: StepSpec,
        policy: QueuePolicy? = QueuePolicy(1, 3, 3.0, 1_000),
        id: String = "a",
    ) = JobSpec(id, "queue", "pool", "team", "", steps.toList(), policy = policy)

    private fun waitOf(
        acceleratorMs: Long = 0,
        cpuMs: Long = 0,
        priority: Int = 1,
        ageMs: Long = 0,
    ) = LoadForecast(listOf(ServiceWait("pool", priority, acceleratorMs, cpuMs)), ageMs)

    // Guards against a bound other than the time at which the job is worth nothing: gangs of 10 s with an objective of 31 s
    // behind 88 s of work, which may end at 93 s.
    @Test
    fun `should refuse a job only if even half of its estimate ends after its value`() {
        expectThat(AdmissionPolicy.refusalOf(jobOf(cores), waitOf(cpuMs = 88_000))).isNull()
        expectThat(AdmissionPolicy.refusalOf(jobOf(cores), waitOf(cpuMs = 88_001)))
            .isNotNull()
            .and { get { limitMs }.isEqualTo(93_000) }
            .and { get { waitMs }.isEqualTo(88_001) }
            .and { get { chainMs }.isEqualTo(10_000) }
    }

    // Guards against the refusal of work that the load does not hold up: urgent, lasting and scheduled jobs, jobs of another
    // service or priority, and jobs without estimates, objective or policy, during a wait of hours.
    @Test
    fun `should never refuse urgent, lasting or scheduled jobs nor jobs of which nothing is known`() {
        val hours = waitOf(acceleratorMs = 9_000_000, cpuMs = 9_000_000)
        val accepted =
            listOf(
                jobOf(cores, accelerator.copy(isLasting = true)),
                jobOf(cores).copy(schedule = JobSchedule(1_000, 1_000, 3)),
                jobOf(cores).copy(service = "other"),
                jobOf(cores, policy = QueuePolicy(2, 3, 3.0, 1_000)),
                jobOf(cores, policy = null),
                jobOf(cores, policy = QueuePolicy(1, 3, 0.0, 0)),
                jobOf(cores, policy = QueuePolicy(1, 3, Double.NaN, 1_000)),
                jobOf(cores, policy = QueuePolicy(1, 3, Double.POSITIVE_INFINITY, 1_000)),
                jobOf(cores.copy(estimateMs = 0)),
            )
        expectThat(accepted.map { AdmissionPolicy.refusalOf(it, hours) }).all { isNull() }
        val urgent = jobOf(cores, policy = QueuePolicy(0, 3, 1.5, 250))
        expectThat(AdmissionPolicy.refusalOf(urgent, waitOf(cpuMs = 9_000_000, priority = 0))).isNull()
    }

    // Guards against refusals by what an owner said that has since been lost: a wait of hours that is 3 s old.
    @Test
    fun `should accept everything without a recent forecast`() {
        expectThat(AdmissionPolicy.refusalOf(jobOf(cores), waitOf(cpuMs = 9_000_000, ageMs = 2_999))).isNotNull()
        expectThat(AdmissionPolicy.refusalOf(jobOf(cores), waitOf(cpuMs = 9_000_000, ageMs = 3_000))).isNull()
        expectThat(AdmissionPolicy.refusalOf(jobOf(cores), waitOf(cpuMs = 9_000_000, ageMs = -1))).isNull()
        expectThat(AdmissionPolicy.refusalOf(jobOf(cores), null)).isNull()
    }

    // Guards against the refusal of gangs that need only cores because accelerators are scarce, and of jobs whose first step
    // runs at once and whose later step waits less than the first one takes.
    @Test
    fun `should count only the resources that a step needs and the time that earlier steps take anyway`() {
        val scarce = waitOf(acceleratorMs = 100_000)
        expectThat(AdmissionPolicy.refusalOf(jobOf(cores), scarce)).isNull()
        expectThat(AdmissionPolicy.refusalOf(jobOf(accelerator), scarce)).isNotNull()
        val long = cores.copy(estimateMs = 30_000)
        // The objective is 115 s. The second step waits 100 s at most and the chain takes 19 s at the least.
        val chain = jobOf(long, accelerator.copy(after = listOf(0)))
        expectThat(AdmissionPolicy.refusalOf(chain, scarce)).isNull()
    }

    // Guards against callers that all come back at the same moment, or later than the page allows.
    @Test
    fun `should spread the time of the next try over callers within its bounds`() {
        val longWait = waitOf(cpuMs = 9_000_000)
        val late = (1..400).map { AdmissionPolicy.refusalOf(jobOf(cores, id = "job-$it"), longWait)!!.retryAfterS }
        expectThat(late).all { isIn(10..15) }
        expectThat(
            late
                .groupingBy { it }
                .eachCount()
                .values
                .min(),
        ).isGreaterThan(400 / 6 / 2)
        val shortWait = waitOf(cpuMs = 88_001)
        val soon = (1..400).map { AdmissionPolicy.refusalOf(jobOf(cores, id = "job-$it"), shortWait)!!.retryAfterS }
        expectThat(soon.toSet()).isEqualTo(setOf(1, 2))
        val middle = AdmissionPolicy.refusalOf(jobOf(cores, id = "job"), waitOf(cpuMs = 92_000))!!
        expectThat(middle.retryAfterS).isIn(4..6)
    }

    // Guards against sums that overflow and turn the largest wait or limit into a negative one.
    @Test
    fun `should not overflow with the largest numbers`() {
        expectThat(AdmissionPolicy.refusalOf(jobOf(cores), waitOf(cpuMs = Long.MAX_VALUE))).isNotNull()
        expectThat(AdmissionPolicy.refusalOf(jobOf(cores), waitOf(cpuMs = Long.MIN_VALUE))).isNull()
        val patient = jobOf(cores, policy = QueuePolicy(1, 3, 1e300, Long.MAX_VALUE))
        expectThat(AdmissionPolicy.refusalOf(patient, waitOf(cpuMs = 9_000_000))).isNull()
    }
}
