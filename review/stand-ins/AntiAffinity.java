import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An urgent step with antiAffinity 1 gets one free worker and preempts for its other subtasks. Rule ROUTE: two of its
 * subtasks run on one worker. There is no disruption; without the trouble there is nothing to preempt.
 */
final class AntiAffinity {
    private static final String LOW = "5c0e7a21d94b36f8";
    private static final String URGENT = "5c0e7a21d94b36f9";

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(arguments[0]);
        lab.plan = (task, attempt) -> new Worker.Course(task.startsWith(LOW) ? 3_600_000 : 20_000, "done");
        lab.need(LOW, new Worker.Need(2_000, 4_000, 1));
        lab.need(URGENT, new Worker.Need(15_000, 39_000, 1));
        Lab.Queue urgent = new Lab.Queue("r-plan", "/pufi791/", 0, 4);
        Lab.Queue low = new Lab.Queue("r-inspect", "/pule252/", 2, 2);
        lab.start(3, 4, List.of(urgent, low), Map.of("kaje80", 16));
        Thread.sleep(2_000);
        // 28 of 32 GPUs: three workers are full, and one has 4 GPUs left.
        Object other = Json.of("spec", "inspect", "phases", List.of(Json.of("count", Lab.hasTrouble() ? 28 : 8, "cpu", 2_000, "memMb", 4_000, "gpus", 1, "estimateMs", 60_000)));
        if (lab.call(lab.otherEntry(), "POST", low.prefix() + LOW, other).status() != 200) lab.cannotRun("the other job was not accepted");
        Thread.sleep(6_000);
        Object job = Json.of("spec", "plan", "phases", List.of(
            Json.of("count", 3, "cpu", 15_000, "memMb", 39_000, "gpus", 1, "estimateMs", 20_000, "antiAffinity", 1)));
        if (lab.call(lab.otherEntry(), "POST", urgent.prefix() + URGENT, job).status() != 200) lab.cannotRun("the job was not accepted");
        Thread.sleep(10_000);
        Map<String, Integer> onWorker = new HashMap<>();
        int most = 0;
        for (Events.Event start : lab.events.of("start", URGENT)) most = Math.max(most, onWorker.merge(start.worker(), 1, Integer::sum));
        lab.finish(most > 1, most + " subtasks of a step with antiAffinity 1 were started on one worker: " + onWorker);
    }
}
