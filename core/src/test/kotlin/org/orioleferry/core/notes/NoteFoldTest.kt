package org.orioleferry.core.notes

import org.junit.jupiter.api.Test
import org.orioleferry.core.FailureCode
import org.orioleferry.core.Outcome
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Definitions
import org.orioleferry.core.model.Guarantee
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.PlacementKind
import org.orioleferry.core.model.Policy
import org.orioleferry.core.model.Quota
import org.orioleferry.core.model.ReleaseNote
import org.orioleferry.core.model.Withdrawals
import org.orioleferry.core.model.Workspace
import org.orioleferry.core.model.WorkspaceName
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isA
import strikt.assertions.isEqualTo

class NoteFoldTest {
    private val sheds = Workspace(WorkspaceName("sheds"))
    private val credit = JobClass(JobClassName("shed-credit"), deadlineMs = 4_000, floorShare = 0.6)
    private val default = Policy("default", PlacementKind.BEST_FIT)
    private val initialNote = ReleaseNote("opening", add = Definitions(listOf(sheds), listOf(credit), listOf(default)))
    private val initial = foldNote(Configuration(), initialNote)

    private fun pathsOf(
        note: ReleaseNote,
        capacity: CapacityCheck = UNLIMITED_CAPACITY,
    ): Set<String> {
        val outcome = applyNote(initial, note, capacity = capacity)
        expectThat(outcome).isA<Outcome.Failed>().get { failure.code }.isEqualTo(FailureCode.NOTE_INVALID)
        return (outcome as Outcome.Failed).failure.details.keys
    }

    // Guards against a change that is accepted but missing from the configuration.
    @Test
    fun `should add, change and withdraw`() {
        val note =
            ReleaseNote(
                "second",
                add = Definitions(workspaces = listOf(Workspace(WorkspaceName("audit")))),
                change = Definitions(policies = listOf(default.copy(placement = PlacementKind.FIRST_FIT))),
                withdraw = Withdrawals(classes = listOf(credit.name)),
            )
        val after = (applyNote(initial, note) as Outcome.Success).value
        expectThat(after.version).isEqualTo(2)
        expectThat(after.workspaces.keys.map { it.value }).containsExactlyInAnyOrder("sheds", "audit")
        expectThat(after.classes).isEqualTo(emptyMap())
        expectThat(after.policies["default"]?.placement).isEqualTo(PlacementKind.FIRST_FIT)
    }

    // Guards against a note that overwrites a definition that its author does not know about.
    @Test
    fun `should refuse names that exist, are unknown or occur twice`() {
        val other = JobClass(JobClassName("other"))
        val note =
            ReleaseNote(
                "bad",
                add = Definitions(workspaces = listOf(sheds), classes = listOf(other, other)),
                change = Definitions(policies = listOf(Policy("p", PlacementKind.BEST_FIT, listOf(DataCentre("a"))))),
                withdraw = Withdrawals(workspaces = listOf(WorkspaceName("none")), policies = listOf("default")),
            )
        expectThat(pathsOf(note)).containsExactlyInAnyOrder(
            "add.workspaces[0].name",
            "add.classes[1].name",
            "change.policies[0].name",
            "withdraw.workspaces[0]",
            "withdraw.policies[0]",
        )
    }

    // Guards against numbers that the scheduler would divide by, wait for or never satisfy.
    @Test
    fun `should refuse numbers out of range with the path of their field`() {
        val dataCentre = DataCentre("kalamata-a")
        val workspace =
            Workspace(
                WorkspaceName("w"),
                weight = 0,
                guarantees = listOf(Guarantee(dataCentre, count = 0, accelerators = 8), Guarantee(dataCentre, 2, 8)),
                quotas = listOf(Quota(dataCentre, 15), Quota(dataCentre, 16)),
            )
        val classes =
            listOf(
                JobClass(JobClassName("slow"), deadlineMs = 30_001, urgency = 10),
                JobClass(JobClassName("nan"), deadlineMs = 0, floorShare = Double.NaN),
            )
        expectThat(
            pathsOf(ReleaseNote("bad", add = Definitions(listOf(workspace), classes))),
        ).containsExactlyInAnyOrder(
            "add.workspaces[0].weight",
            "add.workspaces[0].guarantees[0].count",
            "add.workspaces[0].quotas[0].accelerators",
            "add.workspaces[0].quotas[1].dataCentre",
            "add.classes[0].deadlineMs",
            "add.classes[0].urgency",
            "add.classes[1].deadlineMs",
            "add.classes[1].floorShare",
        )
    }

    // Guards against floor shares whose sum exceeds 1 and against two policies for one data centre.
    @Test
    fun `should refuse definitions that contradict each other`() {
        val policies = listOf("p", "q").map { Policy(it, PlacementKind.BEST_FIT, listOf(DataCentre("a"))) }
        val classes = listOf(JobClass(JobClassName("other"), floorShare = 0.5))
        val note = ReleaseNote("bad", add = Definitions(classes = classes, policies = policies))
        expectThat(pathsOf(note)).containsExactlyInAnyOrder("classes", "policies")
    }

    // Guards against accepting guarantees that exceed the fleet.
    @Test
    fun `should refuse what the capacity check refuses`() {
        val note = ReleaseNote("big", add = Definitions(workspaces = listOf(Workspace(WorkspaceName("big")))))
        val check: CapacityCheck = { listOf(NoteProblem("guarantees", "64 guaranteed, 32 live in kalamata-a")) }
        expectThat(pathsOf(note, check)).containsExactlyInAnyOrder("guarantees")
        expectThat(pathsOf(ReleaseNote("empty"))).containsExactlyInAnyOrder("add")
    }
}
