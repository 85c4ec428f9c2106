import java.util.List;
import java.util.Map;

/**
 * A worker loses power for good while subtasks that last are at work on it. Rule LOST: from 6 s after its last run such a
 * subtask has nothing running for 3 s although there is room.
 */
final class LastingLostWorker {
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int WIDTH = 4;

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(arguments[0]);
        lab.plan = (task, attempt) -> new Worker.Course(100_000_000, "done");
        lab.need(JOB, new Worker.Need(11_000, 16_000, 1));
        Lab.Queue queue = new Lab.Queue("r-inspect", "/pule252/", 2, 2);
        lab.start(3, 4, List.of(queue), Map.of("kaje80", 8));
        Thread.sleep(2_000);
        Object job = Json.of("spec", "serve", "phases", List.of(
            Json.of("count", WIDTH, "cpu", 11_000, "memMb", 16_000, "gpus", 1, "estimateMs", 60_000, "daemon", true)));
        if (lab.call(lab.otherEntry(), "POST", queue.prefix() + JOB, job).status() != 200) lab.cannotRun("the job was not accepted");
        Thread.sleep(8_500);
        if (lab.events.of("start", JOB).size() < WIDTH) lab.cannotRun("the job does not run");
        Worker worker = null;
        for (Worker each : lab.workers) if (each.runCount() > 0) worker = each;
        long lostMs = Lab.nowMs();
        if (Lab.hasTrouble()) worker.losePower();
        Thread.sleep(25_000);
        int late = 0;
        StringBuilder gaps = new StringBuilder();
        for (Events.Event end : lab.events.of("end", JOB)) {
            long nextMs = Lab.nowMs();
            for (Events.Event start : lab.events.of("start", end.task())) if (start.atMs() >= end.atMs()) nextMs = Math.min(nextMs, start.atMs());
            gaps.append(' ').append(nextMs - end.atMs());
            // LOST: for 3 s from 6 s after its last run. The 4 s before them are calm too: the power was lost 6 s before.
            if (nextMs - end.atMs() > 9_000) late++;
        }
        lab.note("power lost at " + (lostMs - Lab.nowMs() + lab.sinceStartMs()) + " ms");
        lab.finish(late > 0, late + " subtasks that last had nothing running for more than 9 s; times without a run in ms:" + gaps);
    }
}
