package org.orioleferry.bench.demo

import org.orioleferry.bench.load.RequestKind
import org.orioleferry.core.api.JobSubmission
import org.orioleferry.core.model.Adjacency
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Definitions
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.Guarantee
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.PlacementKind
import org.orioleferry.core.model.Policy
import org.orioleferry.core.model.ReleaseNote
import org.orioleferry.core.model.Workspace
import org.orioleferry.core.model.WorkspaceName

/** Release note, requests and jobs of the demo and of the fault runs, modelled on the tally service. */
internal object DemoWorkload {
    val dataCentres = listOf("kalamata-a", "pylos-b", "koroni-c", "messini-d")

    val note =
        ReleaseNote(
            noteId = "opening",
            author = "operations",
            add =
                Definitions(
                    workspaces =
                        listOf(
                            Workspace(WorkspaceName("sheds"), 4, listOf(guarantee("kalamata-a"), guarantee("pylos-b"))),
                            Workspace(WorkspaceName("grading"), 1),
                        ),
                    classes =
                        listOf(
                            JobClass(JobClassName("shed-credit"), 0, false, false, 5_000, 8, 0.2),
                            JobClass(JobClassName("grade-check"), 8, true, true, 5_000, 1, 0.1),
                            JobClass(JobClassName("season-replan"), 1, true, false, 5_000, 8, 0.2),
                        ),
                    policies = listOf(Policy("default", PlacementKind.GUARANTEE_AWARE)),
                ),
        )

    val requestKinds =
        listOf(
            RequestKind("sheds", "shed-credit", false, 5L..40L),
            RequestKind("grading", "grade-check", true, 10L..80L),
        )

    /** A gang of two tasks in one rack with eight accelerators each. */
    fun adjacentGang(
        suffix: String,
        workMs: Long,
    ): JobSubmission = job("sheds", "season-replan", "kalamata-a", suffix, workMs, Gang(2, 8, Adjacency.RACK))

    /** A preemptible job of one task that takes all eight accelerators of a worker. */
    fun borrower(
        dataCentre: String,
        suffix: String,
        workMs: Long,
    ): JobSubmission = job("grading", "grade-check", dataCentre, suffix, workMs, Gang(1, 8, Adjacency.WORKER))

    /** A gang of 16 accelerators that fills the guaranteed capacity of the workspace `sheds` in [dataCentre]. */
    fun urgent(
        dataCentre: String,
        suffix: String,
        workMs: Long,
    ): JobSubmission = job("sheds", "season-replan", dataCentre, suffix, workMs, Gang(2, 8, Adjacency.DATA_CENTRE))

    private fun guarantee(dataCentre: String) = Guarantee(DataCentre(dataCentre), 2, 8, Adjacency.WORKER)

    private fun job(
        workspace: String,
        jobClass: String,
        dataCentre: String,
        suffix: String,
        workMs: Long,
        gang: Gang,
    ) = JobSubmission(
        workspace = WorkspaceName(workspace),
        caller = "planner",
        jobClass = JobClassName(jobClass),
        gang = gang,
        declaredRunMs = workMs,
        workMs = workMs,
        dataCentre = DataCentre(dataCentre),
        suffix = suffix,
    )
}
