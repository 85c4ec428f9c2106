package org.orioleferry.daemon.notes

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.NoteAccepted
import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Definitions
import org.orioleferry.core.model.Guarantee
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.ReleaseNote
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.Workspace
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.notes.NoteProblem
import org.orioleferry.core.placement.PlacementWorker
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.single

class NoteAdmissionTest {
    private val solin = DataCentre("solin")
    private val guarantee = Guarantee(solin, 3, 8, Adjacency.WORKER)
    private val workspace = Workspace(WorkspaceName("reprints"), guarantees = listOf(guarantee))
    private val configuration = Configuration(1, mapOf(workspace.name to workspace))
    private val fleet = mapOf(solin to List(2) { PlacementWorker(WorkerId("w$it"), "r1", 8) })
    private val admission = NoteAdmission()

    // Guards against guarantees of more accelerators than the live fleet has.
    @Test
    fun `should find guarantees that the fleet cannot satisfy`() =
        runTest {
            val problems = problemsOf(ReleaseNote("n1", add = Definitions(workspaces = listOf(workspace))))
            expectThat(problems).single().get { message }.contains("24 accelerators are guaranteed")
        }

    // Guards against changes unrelated to guarantees that are refused after the loss of a rack.
    @Test
    fun `should not check a note without workspaces`() =
        runTest {
            val jobClass = JobClass(JobClassName("forecast"))
            expectThat(problemsOf(ReleaseNote("n2", add = Definitions(classes = listOf(jobClass))))).isEmpty()
        }

    private suspend fun problemsOf(note: ReleaseNote): List<NoteProblem> {
        var problems = emptyList<NoteProblem>()
        admission.admit(note, { Outcome.Success(fleet) }) {
            problems = admission.problems(configuration)
            Outcome.Success(NoteAccepted(1))
        }
        return problems
    }
}
