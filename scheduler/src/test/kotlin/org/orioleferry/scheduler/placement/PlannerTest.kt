package org.orioleferry.scheduler.placement

import org.junit.jupiter.api.Test
import org.orioleferry.scheduler.model.Resources
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class PlannerTest {
    private val planner = Planner()

    private fun worker(
        id: String,
        free: Int = 8,
        rack: String = "r0",
        isTroubled: Boolean = false,
        isCold: Boolean = false,
    ) = WorkerResources(
        id,
        "pool",
        rack,
        setOf("a"),
        accelerators(8),
        accelerators(free),
        isTroubled = isTroubled,
        isCold = isCold,
    )

    private fun accelerators(count: Int) = Resources(count * 4_000, count * 16_000, count)

    private fun demand(
        key: String,
        width: Int,
        each: Int,
        priority: Int = 2,
        waitedMs: Long = 0,
        isGang: Boolean = false,
        sameRack: Boolean = false,
        dataRack: String = "",
    ) = Demand(
        key,
        "pool",
        priority,
        QueuePosition(valueForWork = 1.0, dueMs = 0),
        accelerators(each),
        width,
        isGang,
        sameRack,
        waitedMs = waitedMs,
        dataRack = dataRack,
        estimateMs = 5_000,
    )

    private fun use(vararg acceleratorsByRank: Pair<Int, Int>): Map<ServiceRank, Int> =
        acceleratorsByRank.associate { (rank, accelerators) -> ServiceRank("pool", rank) to accelerators }

    private fun plan(
        workers: List<WorkerResources>,
        demands: List<Demand<String>>,
        victims: List<Victim<String>> = emptyList(),
        reserve: Int = 0,
    ): Plan<String, String> = planner.plan(workers, demands, victims, mapOf("pool" to reserve))

    // Guards against a task that is restarted because it stood still and returns to the same worker: the wait of its step
    // counts from the first readiness, so it was long enough for troubled workers, and the fullest worker came first.
    @Test
    fun `should prefer a healthy worker to a fuller one that is troubled`() {
        val workers = { listOf(worker("w0", free = 2, isTroubled = true), worker("w1")) }
        val plan = plan(workers(), listOf(demand("a", width = 2, each = 1, waitedMs = 60_000)))
        expectThat(plan.placed.single().workers).isEqualTo(listOf("w1", "w1"))
        val wide = plan(workers(), listOf(demand("a", width = 10, each = 1, waitedMs = 60_000)))
        expectThat(wide.placed.single().workers).hasSize(10)
    }

    // Guards against urgent work on workers that are still slow after their start although others are free, and against
    // urgent work that waits beside cold workers.
    @Test
    fun `should use cold workers last for urgent work`() {
        val workers = { listOf(worker("w0", free = 2, isCold = true), worker("w1")) }
        val urgent = plan(workers(), listOf(demand("a", width = 2, each = 1, priority = 0)))
        expectThat(urgent.placed.single().workers).isEqualTo(listOf("w1", "w1"))
        val wide = plan(workers(), listOf(demand("a", width = 10, each = 1, priority = 0)))
        expectThat(wide.placed.single().workers).hasSize(10)
        val routine = plan(workers(), listOf(demand("a", width = 2, each = 1)))
        expectThat(routine.placed.single().workers).isEqualTo(listOf("w0", "w0"))
    }

    // The same for a gang in one rack: the rack with the fewest free slots came first.
    @Test
    fun `should prefer a rack with enough warm workers for an urgent gang`() {
        val workers = {
            listOf(
                worker("w0", free = 2, isCold = true),
                worker("w1", rack = "r1"),
                worker("w2", rack = "r1", isCold = true),
            )
        }
        val gang = demand("a", width = 2, each = 1, priority = 0, isGang = true, sameRack = true)
        expectThat(plan(workers(), listOf(gang)).placed.single().workers).isEqualTo(listOf("w1", "w1"))
        expectThat(plan(workers(), listOf(gang.copy(rank = 2))).placed.single().workers).isEqualTo(listOf("w0", "w0"))
    }

    // Guards against a reserve of cold workers, which leaves only these to the urgent work it is kept for.
    @Test
    fun `should keep warm workers free for urgent work before cold ones`() {
        val workers = listOf(worker("w0", isCold = true), worker("w1", rack = "r1"))
        val plan = plan(workers, listOf(demand("a", width = 8, each = 1)), reserve = 4)
        expectThat(plan.placed.single().workers).isEqualTo(List(8) { "w0" })
    }

    // Guards against two tasks of a step on one worker that allows one: the search for victims left out the tasks that the
    // same pass had placed (AntiAffinity of the independent review).
    @Test
    fun `should preempt on no worker that got a task of the step in the same pass`() {
        val workers = listOf(worker("w0", free = 4), worker("w1", free = 0), worker("w2", free = 0))
        val spread = demand("spread", width = 3, each = 1, priority = 0).copy(maxPerWorker = 1)
        val victims =
            listOf("w0", "w1", "w2").flatMap { id ->
                List(4) { Victim("$id-$it", rank = 2, accelerators(1), listOf(id), lostWorkCoreMs = 1_000) }
            }
        val plan = plan(workers, listOf(spread), victims)
        val chosen = plan.placed.single().workers + plan.preemptions.single().workers
        expectThat(chosen).containsExactlyInAnyOrder("w0", "w1", "w2")
    }

    // Guards against the same when several demands of one step are placed in one pass, as the trials of suspects are.
    @Test
    fun `should count the tasks of all demands of a step against its limit`() {
        val workers = listOf(worker("w0", free = 4), worker("w1", free = 8))
        val first = demand("first", width = 1, each = 1).copy(maxPerWorker = 1, step = "step")
        val second = first.copy(key = "second")
        val plan = plan(workers, listOf(first, second))
        expectThat(plan.placed.flatMap { it.workers }).containsExactlyInAnyOrder("w0", "w1")
    }

    // Guards against reserved workers that meanwhile run as many tasks of the step as they may.
    @Test
    fun `should not use a reserved worker that runs as many tasks of the step as it may`() {
        val workers = listOf(worker("w0", free = 8))
        val spread = demand("spread", width = 1, each = 1, priority = 0).copy(maxPerWorker = 1, reserved = listOf("w0"))
        val plan = plan(workers, listOf(spread.copy(tasksByWorker = mapOf("w0" to 1))))
        expectThat(plan.placed).isEmpty()
    }

    // Guards against guaranteed accelerators that remain occupied by another workspace's burst of urgent work. Seen as
    // RECLAIM on fresh-00b3 of the enlarged Tallyferry, where a job of 4 accelerators waited longer than 2.7 s.
    @Test
    fun `should reclaim guaranteed accelerators from urgent work beyond another guarantee`() {
        val workers = listOf(worker("w0", free = 0), worker("w1", free = 0))
        val flood =
            List(2) { Victim("flood$it", Rank.URGENT, accelerators(8), listOf("w$it"), lostWorkCoreMs = 10_000) }
        val owed = demand("owed", width = 1, each = 8, priority = Rank.GUARANTEED)
        expectThat(
            plan(workers, listOf(owed), flood)
                .preemptions
                .single()
                .victims,
        ).hasSize(1)
        val other = demand("other", width = 1, each = 8, priority = Rank.URGENT)
        expectThat(plan(workers, listOf(other), flood).preemptions).isEmpty()
    }

    // Guards against a search for each of many wide urgent gangs that no preemption can serve, which took 50 ms a pass
    // on 245 workers. Narrow urgent work behind them must still find its victims.
    @Test
    fun `should search once for demands that cannot be served and go on to those that can`() {
        val workers = List(4) { worker("w$it", free = 0) }
        val victims = List(4) { Victim("r$it", 2, accelerators(8), listOf("w$it"), lostWorkCoreMs = 10_000) }
        val wide = List(40) { demand("wide$it", width = 5 + it, each = 8, priority = 0, isGang = true) }
        val narrow = demand("narrow", width = 1, each = 8, priority = 0)
        val plan = plan(workers, wide + narrow, victims)
        expectThat(plan.preemptions.map { it.demand.key }).isEqualTo(listOf("narrow"))
    }

    // Guards against skipping the search for a step because a similar step with tasks on every worker found no victims.
    @Test
    fun `should search again where the limit per worker leaves more workers`() {
        val workers = List(2) { worker("w$it", free = 0) }
        val victims = List(2) { Victim("r$it", 2, accelerators(8), listOf("w$it"), lostWorkCoreMs = 10_000) }
        val spread = demand("spread", width = 1, each = 8, priority = 0).copy(maxPerWorker = 1)
        val full = spread.copy(key = "full", tasksByWorker = mapOf("w0" to 1, "w1" to 1))
        val plan = plan(workers, listOf(full, spread), victims)
        expectThat(plan.preemptions.map { it.demand.key }).isEqualTo(listOf("spread"))
    }

    // Guards against preempting urgent work while preempting routine work would free the resources.
    @Test
    fun `should preempt urgent work only where routine work does not free enough resources`() {
        val workers = listOf(worker("w0", free = 0), worker("w1", free = 0))
        val victims =
            listOf(
                Victim("urgent", Rank.URGENT, accelerators(8), listOf("w0"), lostWorkCoreMs = 10_000),
                Victim("routine", 2, accelerators(8), listOf("w1"), lostWorkCoreMs = 500_000),
            )
        val owed = demand("owed", width = 1, each = 8, priority = Rank.GUARANTEED)
        expectThat(
            plan(workers, listOf(owed), victims)
                .preemptions
                .single()
                .victims,
        ).isEqualTo(listOf("routine"))
    }

    @Test
    fun `should cover a workspace only while all its urgent work fits its guarantee`() {
        val guaranteed =
            workspacesWithinGuarantee(mapOf("small" to 8, "large" to 40, "none" to 1)) { if (it == "none") 0 else 16 }
        expectThat(guaranteed).isEqualTo(setOf("small"))
    }

    // Guards against starting only some members of a gang.
    @Test
    fun `should start all members of a gang or none`() {
        val workers = listOf(worker("w0", free = 8), worker("w1", free = 3))
        expectThat(plan(workers, listOf(demand("gang", width = 3, each = 4, isGang = true))).placed).isEmpty()
        val more = listOf(worker("w0"), worker("w1", free = 4))
        expectThat(plan(more, listOf(demand("gang", width = 3, each = 4, isGang = true))).placed).hasSize(1)
    }

    // Guards against spreading the tasks of a step over racks, which makes it take three times as long.
    @Test
    fun `should place a step that requires one rack in one rack`() {
        val workers =
            listOf(worker("w0", rack = "r0"), worker("w1", free = 4, rack = "r1"), worker("w2", free = 4, rack = "r1"))
        val placed = plan(workers, listOf(demand("step", width = 2, each = 4, isGang = true, sameRack = true))).placed
        expectThat(
            placed
                .single()
                .workers
                .map { it.first() + if (it == "w0") "0" else "1" }
                .toSet(),
        ).hasSize(1)
    }

    // Guards against work that waits for more than 3 s next to free workers because its data is in another rack.
    @Test
    fun `should run work away from its data once it has waited while the service is lightly used`() {
        val workers = {
            listOf(
                worker("w0", free = 0, rack = "r0"),
                worker("w1", rack = "r1"),
                worker("w2", rack = "r1"),
            )
        }
        val fresh = demand("step", width = 1, each = 1, dataRack = "r0")
        expectThat(plan(workers(), listOf(fresh)).placed).isEmpty()
        expectThat(plan(workers(), listOf(fresh.copy(waitedMs = 2_000))).placed).hasSize(1)
    }

    // Guards against preemptions for every urgent gang when a few of them arrive each second on a full service: without
    // withheld workers each gang preempts and waits for the stops (0.9 s at Omotnica).
    @Test
    fun `should withhold workers for the next urgent gang`() {
        val workers = listOf(worker("w0"), worker("w1"), worker("w2", free = 4))
        val placed = plan(workers, listOf(demand("routine", width = 20, each = 1)), reserve = 8).placed
        expectThat(placed.single().workers).hasSize(12)
        expectThat(placed.single().workers.toSet()).hasSize(2)
    }

    @Test
    fun `should let urgent work use the withheld workers`() {
        val placed =
            plan(
                listOf(worker("w0")),
                listOf(demand("urgent", width = 1, each = 8, priority = 0)),
                reserve = 8,
            ).placed
        expectThat(placed.single().demand.key).isEqualTo("urgent")
    }

    // Guards against starvation of wide tasks: many narrow tasks of low priority take every accelerator that becomes
    // free, so wide tasks of a higher priority never find a whole worker (lining forecasts earned 0.37 of their value
    // on scale-1 of Omotnica).
    @Test
    fun `should withhold workers for a waiting wide step instead of filling them with narrow tasks`() {
        val workers = List(8) { worker("w$it", free = 4) }
        val wide = demand("wide", width = 1, each = 8, priority = 1, waitedMs = 1_000)
        val placed = plan(workers, listOf(wide, demand("narrow", width = 64, each = 1))).placed
        expectThat(placed.single().workers).hasSize(28)
    }

    // Guards against withholding so many workers for waiting steps that no later step can start.
    @Test
    fun `should withhold at most a quarter of the workers`() {
        val workers = List(8) { worker("w$it", free = 4) }
        val wide = List(8) { demand("wide$it", width = 4, each = 8, priority = 1, waitedMs = 1_000) }
        val placed = plan(workers, wide + demand("narrow", width = 64, each = 1)).placed
        expectThat(placed.single().workers).hasSize(24)
    }

    // Guards against the starvation of the lowest priority: work of priority 1 took every accelerator that came free for
    // 45 s on scale-1 of the grown Omotnica, while 3,000 tasks of priority 2 waited.
    @Test
    fun `should start work of a lower priority up to its minimum share`() {
        val workers = { List(8) { worker("w$it", free = 2) } }
        val higher = demand("higher", width = 64, each = 1, priority = 1)
        val lower = demand("lower", width = 64, each = 1, priority = 2)

        fun placedOf(inUse: Int): Map<String, Int> =
            Planner(PlannerSettings(minShare = 0.125))
                .plan(workers(), listOf(higher, lower), emptyList<Victim<String>>(), inUse = use(2 to inUse))
                .placed
                .associate { it.demand.key to it.workers.size }
        expectThat(placedOf(inUse = 0)).isEqualTo(mapOf("lower" to 8, "higher" to 8))
        expectThat(placedOf(inUse = 5)).isEqualTo(mapOf("lower" to 3, "higher" to 13))
        expectThat(placedOf(inUse = 8)).isEqualTo(mapOf("higher" to 16))
    }

    // Guards against a minimum share that tears a gang apart, exceeds the limit per worker, or takes the accelerators
    // that are kept for urgent work.
    @Test
    fun `should keep the rules of placement within a minimum share`() {
        val workers = { List(8) { worker("w$it", free = 2) } }
        val higher = demand("higher", width = 64, each = 1, priority = 1)
        val gang = demand("gang", width = 9, each = 1, priority = 2, isGang = true)
        expectThat(plan(workers(), listOf(higher, gang)).placed.map { it.demand.key }).isEqualTo(listOf("higher"))
        val spread = demand("spread", width = 16, each = 1, priority = 2).copy(maxPerWorker = 1)
        val placed = plan(workers(), listOf(spread, demand("first", width = 1, each = 1, priority = 1))).placed
        val spreadWorkers = placed.filter { it.demand.key == "spread" }.flatMap { it.workers }
        expectThat(spreadWorkers).hasSize(spreadWorkers.toSet().size)
        val reserved = plan(workers(), listOf(higher, demand("lower", width = 8, each = 1)), reserve = 16).placed
        expectThat(reserved).isEmpty()
    }

    // Guards against stopping more work than the urgent step needs, and against stopping the work that has run longest.
    @Test
    fun `should preempt the cheapest victims that free enough resources`() {
        val workers = listOf(worker("w0", free = 0), worker("w1", free = 0))
        val victims =
            listOf(
                Victim("long", 2, accelerators(8), listOf("w0"), lostWorkCoreMs = 900_000),
                Victim("a", 2, accelerators(4), listOf("w1"), lostWorkCoreMs = 1_000),
                Victim("b", 2, accelerators(4), listOf("w1"), lostWorkCoreMs = 2_000),
            )
        val plan = plan(workers, listOf(demand("urgent", width = 1, each = 8, priority = 0)), victims)
        expectThat(plan.preemptions.single().victims).containsExactlyInAnyOrder("a", "b")
        expectThat(plan.preemptions.single().workers).isEqualTo(listOf("w1"))
    }

    // Guards against preempting long runs for an urgent gang although other runs end within the time that a stop takes.
    // On a quiet day of Tallyferry this stopped 66 runs and discarded 2,400 core-seconds.
    @Test
    fun `should wait for runs that are about to end instead of stopping others`() {
        val workers = listOf(worker("w0", free = 0), worker("w1", free = 0))
        val victims =
            listOf(
                Victim("young", 2, accelerators(8), listOf("w0"), lostWorkCoreMs = 1_000, remainingMs = 9_000),
                Victim("ending", 2, accelerators(8), listOf("w1"), lostWorkCoreMs = 80_000, remainingMs = 300),
            )
        val preemption =
            plan(workers, listOf(demand("urgent", width = 1, each = 8, priority = 0)), victims).preemptions.single()
        expectThat(preemption.victims).isEmpty()
        expectThat(preemption.workers).isEqualTo(listOf("w1"))
    }

    // Guards against preempting a gang once per member, or counting its cost more than once.
    @Test
    fun `should count a gang that frees resources on several workers once`() {
        val workers = List(3) { worker("w$it", free = 0) }
        val victims =
            listOf(
                Victim("gang", 2, accelerators(8), listOf("w0", "w1"), lostWorkCoreMs = 10_000),
                Victim("single0", 1, accelerators(8), listOf("w2"), lostWorkCoreMs = 9_000),
            )
        val urgent = demand("urgent", width = 2, each = 8, priority = 0, isGang = true)
        val preemption = plan(workers, listOf(urgent), victims).preemptions.single()
        expectThat(preemption.victims).isEqualTo(listOf("gang"))
        expectThat(preemption.workers).containsExactlyInAnyOrder("w0", "w1")
    }

    // Guards against reserving workers whose victims were dropped from the selection: the urgent gang waits until the
    // reservation expires and preempts again (incident on tallyferry).
    @Test
    fun `should reserve workers that are free once the chosen victims have stopped`() {
        val workers = List(4) { worker("w$it", free = 0) }
        val victims =
            listOf(
                Victim("w0", 2, accelerators(8), listOf("w0"), lostWorkCoreMs = 50_000),
                Victim("w1", 2, accelerators(8), listOf("w1"), lostWorkCoreMs = 9_000),
                Victim("w2 and w3", 2, accelerators(8), listOf("w2", "w3"), lostWorkCoreMs = 60_000),
            )
        val urgent = demand("urgent", width = 2, each = 8, priority = 0, isGang = true)
        val preemption = plan(workers, listOf(urgent), victims).preemptions.single()
        val freed = victims.filter { it.key in preemption.victims }.flatMap { it.workers }
        expectThat(preemption.workers.filter { it !in freed }).isEmpty()
        val many =
            List(4) { Victim("single$it", 2, accelerators(8), listOf("w$it"), lostWorkCoreMs = 80_000L - it * 10_000) }
        val pair = Victim("pair", 2, accelerators(8), listOf("w0", "w1"), lostWorkCoreMs = 100_000)
        val other = plan(workers, listOf(urgent), listOf(pair) + many.drop(2)).preemptions.single()
        val freedByOther = (listOf(pair) + many).filter { it.key in other.victims }.flatMap { it.workers }
        expectThat(other.workers.filter { it !in freedByOther }).isEmpty()
    }

    // Guards against other work taking workers emptied for an urgent gang before all of them are free.
    @Test
    fun `should leave reserved workers to the step that they were emptied for`() {
        val workers = listOf(worker("w0", free = 8), worker("w1", free = 2))
        val urgent =
            demand(
                "urgent",
                width = 2,
                each = 8,
                priority = 0,
                isGang = true,
            ).copy(reserved = listOf("w0", "w1"))
        val placed = plan(workers, listOf(urgent, demand("narrow", width = 8, each = 1))).placed
        expectThat(placed).isEmpty()
    }

    private fun costPlan(
        workers: List<WorkerResources>,
        demands: List<Demand<String>>,
        victims: List<Victim<String>> = emptyList(),
    ): Plan<String, String> = Planner(PlannerSettings(decidesByCost = true)).plan(workers, demands, victims)

    // Guards against a gang that waits twice its estimate for a rack which no rack of the service is large enough for.
    @Test
    fun `should place a gang that is wider than any rack across racks at once`() {
        val workers = { List(4) { worker("w$it", rack = "r${it / 2}") } }
        val wide = demand("wide", width = 3, each = 8, priority = 0, isGang = true, sameRack = true)
        expectThat(costPlan(workers(), listOf(wide)).placed.single().workers).hasSize(3)
        expectThat(plan(workers(), listOf(wide)).placed).isEmpty()
        val narrow = wide.copy(width = 2)
        val halfFull = listOf(worker("w0"), worker("w1", free = 0), worker("w2", rack = "r1"), worker("w3", 0, "r1"))
        expectThat(costPlan(halfFull, listOf(narrow)).placed).isEmpty()
    }

    // Guards against a wide gang for which nothing is ever stopped, since the search looked at single racks only.
    @Test
    fun `should stop runs in several racks for a gang that is wider than any rack`() {
        val workers = List(4) { worker("w$it", free = 0, rack = "r${it / 2}") }
        val victims = workers.map { Victim("on ${it.id}", 2, accelerators(8), listOf(it.id), lostWorkCoreMs = 10) }
        val wide = demand("wide", width = 3, each = 8, priority = 0, isGang = true, sameRack = true)
        expectThat(costPlan(workers, listOf(wide), victims).preemptions.single().victims).hasSize(3)
    }

    // Guards against work that is discarded for more than it is worth: the step waits for the next free workers instead.
    @Test
    fun `should stop nothing that costs more than the budget of the step`() {
        val workers = { listOf(worker("w0", free = 0), worker("w1", free = 0)) }
        val victims =
            listOf(
                Victim("dear", 2, accelerators(8), listOf("w0"), lostWorkCoreMs = 1_000),
                Victim("cheap", 2, accelerators(8), listOf("w1"), lostWorkCoreMs = 400),
            )
        val urgent = demand("urgent", width = 1, each = 8, priority = 0)
        val stoppedFor = { budget: Long ->
            val plan = costPlan(workers(), listOf(urgent.copy(preemptionBudgetCoreMs = budget)), victims)
            plan.preemptions.flatMap { it.victims }
        }
        expectThat(stoppedFor(399)).isEmpty()
        expectThat(stoppedFor(400)).isEqualTo(listOf("cheap"))
        expectThat(stoppedFor(0)).isEmpty()
    }

    // Guards against a search that fails for its budget and keeps cheaper steps of the same pass from a search of their own.
    @Test
    fun `should search for a step after one with a smaller budget found nothing`() {
        val workers = listOf(worker("w0", free = 0))
        val victims = listOf(Victim("run", 2, accelerators(8), listOf("w0"), lostWorkCoreMs = 400))
        val poor = demand("poor", width = 1, each = 8, priority = 0).copy(preemptionBudgetCoreMs = 10)
        val rich = demand("rich", width = 1, each = 8, priority = 0).copy(preemptionBudgetCoreMs = 500)
        val plan = costPlan(workers, listOf(poor, rich), victims)
        expectThat(plan.preemptions.map { it.demand.key }).isEqualTo(listOf("rich"))
    }

    // Guards against batch tasks that are scattered over all racks, so that no rack has whole workers left for a gang.
    @Test
    fun `should keep tasks with one accelerator out of the rack with most free workers`() {
        val workers = List(4) { worker("a$it", rack = "r0") } + List(2) { worker("b$it", rack = "r1") }
        val plan = costPlan(workers, listOf(demand("batch", width = 12, each = 1)))
        expectThat(
            plan.placed
                .single()
                .workers
                .toSet(),
        ).isEqualTo(setOf("b0", "b1"))
    }

    // Guards against guaranteed work that begins too late, because the searches of a pass went to steps that can wait.
    @Test
    fun `should search for a step that has to start beyond the limit on searches`() {
        val workers = List(20) { worker("w$it", free = 0) } + worker("last", free = 0)
        val victims = workers.map { Victim("on ${it.id}", 2, accelerators(8), listOf(it.id), lostWorkCoreMs = 10) }
        val others = List(20) { demand("other$it", width = 1, each = 8, priority = 0) }
        val due = demand("due", width = 1, each = 8, priority = 0).copy(hasToStart = true)
        val searched = costPlan(workers, others + due, victims).preemptions.map { it.demand.key }
        expectThat(searched).hasSize(PlannerSettings().maxVictimSearches + 1)
        expectThat(searched.last()).isEqualTo("due")
    }

    // Guards against steps that use up the searches of each pass without result, so that no later step gets one.
    @Test
    fun `should not search again for steps as hard as one that found nothing within its budget`() {
        val workers = listOf(worker("w0", free = 0), worker("w1", free = 0, rack = "r1"))
        val victims =
            listOf(
                Victim("dear", 2, accelerators(8), listOf("w0"), lostWorkCoreMs = 1_000),
                Victim("cheap", 2, accelerators(8), listOf("w1"), lostWorkCoreMs = 10),
            )
        val poor =
            List(20) {
                demand("poor$it", width = 2, each = 8, priority = 0).copy(preemptionBudgetCoreMs = 100)
            }
        val last = demand("last", width = 1, each = 8, priority = 0).copy(preemptionBudgetCoreMs = 100)
        val plan = costPlan(workers, poor + last, victims)
        expectThat(plan.preemptions.map { it.demand.key }).isEqualTo(listOf("last"))
    }
}
