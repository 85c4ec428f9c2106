import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Two workers are cut off, crash behind the cut and start again. A subtask ran on the first of them only; the start that
 * was sent to the second never arrived. Rule LOST: its job is shown as failed.
 */
final class UncrashedJob {
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int MAX_ATTEMPTS = 4;

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(arguments[0]);
        lab.plan = (task, attempt) -> new Worker.Course(6_800, "done");
        lab.need(JOB, new Worker.Need(52_000, 75_000, 1));
        Lab.Queue queue = new Lab.Queue("r-forecast", "/lohu930/", 1, MAX_ATTEMPTS);
        lab.start(3, 10, List.of(queue), Map.of("kaje80", 16));
        // The workers are older than 10 s, as on any day.
        Thread.sleep(11_000);
        Object job = Json.of("spec", "forecast", "phases", List.of(Json.of("count", 1, "cpu", 52_000, "memMb", 75_000, "gpus", 1, "estimateMs", 6_800)));
        if (lab.call(lab.otherEntry(), "POST", queue.prefix() + JOB, job).status() != 200) lab.cannotRun("the job was not accepted");
        long endMs = Lab.nowMs() + 10_000;
        while (lab.events.of("start", JOB).isEmpty()) {
            if (Lab.nowMs() > endMs) lab.cannotRun("the job does not start");
            Thread.sleep(20);
        }
        Thread.sleep(800);
        if (Lab.hasTrouble()) {
            // 2 of 10 workers: share = 0.2, for_s = 3 and 5, how = "reborn".
            List<Worker> cut = new ArrayList<>();
            for (Worker worker : lab.workers) if (worker.runCount() > 0) cut.add(worker);
            // The idle worker that is named next; which of the idle ones the subtask gets depends on their names only.
            for (Worker worker : lab.workers) if (worker.runCount() == 0 && cut.size() < 2) cut.add(worker);
            for (Worker worker : cut) worker.cutOff();
            Thread.sleep(3_000);
            cut.get(0).crashAndStartAgain("i-9f3a91d1");
            cut.get(0).endCut();
            Thread.sleep(2_000);
            cut.get(1).crashAndStartAgain("i-9f3a91d2");
            cut.get(1).endCut();
        }
        String state = "";
        endMs = Lab.nowMs() + 40_000;
        while (!state.contains("completed") && !state.contains("failed") && Lab.nowMs() < endMs) {
            Thread.sleep(500);
            state = lab.call(lab.otherEntry(), "GET", queue.prefix() + JOB, null).body();
        }
        Thread.sleep(1_000);
        long failed = lab.events.of("end", JOB).stream().filter(end -> end.how().equals("failed")).count();
        long crashed = lab.events.of("end", JOB).stream().filter(end -> end.how().equals("crash")).count();
        // LOST: shown as failed without cause. The news page: a subtask under which two workers have crashed may be given up.
        boolean isBroken = state.contains("failed") && failed < MAX_ATTEMPTS && crashed < 2;
        lab.finish(
            isBroken,
            "the job is " + state + " after " + lab.events.of("start", JOB).size() + " starts, " + failed + " ends 'failed' of " + MAX_ATTEMPTS + ", and " +
                crashed + " crashes of a worker under the subtask");
    }
}
