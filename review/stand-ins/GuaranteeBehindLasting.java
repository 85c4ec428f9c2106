import java.util.List;
import java.util.Map;

/**
 * A lasting job of another tenant and of low priority holds the accelerators that are guaranteed to a tenant. Rule
 * RECLAIM: the tenant's job of priority 0 never begins. Without the trouble the other job's subtasks end by themselves
 * after an hour, so they don't last.
 */
final class GuaranteeBehindLasting {
    private static final String OTHER = "5c0e7a21d94b36f8";
    private static final String OWN = "5c0e7a21d94b36f9";
    private static final long RECLAIM_MS = 3_400;

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(arguments[0]);
        lab.plan = (task, attempt) -> new Worker.Course(task.startsWith(OTHER) ? 3_600_000 : 2_500, "done");
        lab.need(OTHER, new Worker.Need(2_000, 4_000, 1));
        lab.need(OWN, new Worker.Need(15_000, 39_000, 8));
        Lab.Queue urgent = new Lab.Queue("r-plan", "/pufi791/", 0, 4);
        Lab.Queue low = new Lab.Queue("r-inspect", "/pule252/", 2, 2);
        // 4 workers with 8 GPUs each: 16 of 32 are guaranteed to kaje80.
        lab.start(3, 4, List.of(urgent, low), Map.of("kaje80", 16, "lewu12", 0));
        Thread.sleep(2_000);
        Map<String, Object> step = Json.of("count", 30, "cpu", 2_000, "memMb", 4_000, "gpus", 1, "estimateMs", 60_000);
        if (Lab.hasTrouble()) step.put("daemon", true);
        if (lab.call(lab.otherEntry(), "POST", low.prefix() + OTHER, Json.of("spec", "serve", "phases", List.of(step)), "lewu12").status() != 200) {
            lab.cannotRun("the other tenant's job was not accepted");
        }
        long endMs = Lab.nowMs() + 10_000;
        while (lab.events.of("start", OTHER).size() < 25) {
            if (Lab.nowMs() > endMs) lab.cannotRun("the other tenant's job does not start");
            Thread.sleep(20);
        }
        Thread.sleep(8_000);
        lab.note("the other tenant's job holds " + lab.events.of("start", OTHER).size() + " of 32 GPUs");
        Object job = Json.of("spec", "plan", "phases", List.of(Json.of("count", 2, "cpu", 15_000, "memMb", 39_000, "gpus", 8, "estimateMs", 2_500)));
        if (lab.call(lab.otherEntry(), "POST", urgent.prefix() + OWN, job).status() != 200) lab.cannotRun("the tenant's job was not accepted");
        long ackMs = Lab.nowMs();
        Thread.sleep(RECLAIM_MS);
        int begunInTime = lab.events.of("start", OWN).size();
        Thread.sleep(40_000);
        int begun = lab.events.of("start", OWN).size();
        String state = lab.call(lab.otherEntry(), "GET", urgent.prefix() + OWN, null).body();
        lab.finish(
            begunInTime < 2,
            begunInTime + " of 2 subtasks had begun " + RECLAIM_MS + " ms after the ack, " + begun + " of 2 after " +
                (Lab.nowMs() - ackMs) / 1_000 + " s; the job is " + state);
    }
}
