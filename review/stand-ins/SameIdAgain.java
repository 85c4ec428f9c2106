import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker is cut off, crashes behind the cut and starts again under its id. Orders that are sent again run in its new life
 * and end there, before the owner knows of that life. Rule TWICE: the next hold carries the number of the last end of the old
 * life, so that the new life forgets these ends, and the subtasks start again.
 */
final class SameIdAgain {
    private static final String PREFIX = "5c0e7a21d94b";
    private static final int CUTS = 4;
    private static final int WIDTH = 3;

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(arguments[0]);
        lab.plan = (task, attempt) -> new Worker.Course(150, "done");
        Lab.Queue queue = new Lab.Queue("r-plan", "/pufi791/", 1, 4);
        lab.start(3, 5, List.of(queue), Map.of("kaje80", 16));
        Thread.sleep(2_000);
        Object job = Json.of("spec", "plan", "phases", List.of(Json.of("count", WIDTH, "cpu", 1_000, "memMb", 1_000, "estimateMs", 150)));
        long endMs = Lab.nowMs() + 10_000 + CUTS * 12_000;
        Thread consumer = new Thread(() -> {
            // 4 jobs a second, about the traffic of the site.
            for (int i = 0; Lab.nowMs() < endMs - 6_000; i++) {
                String id = String.format(PREFIX + "%04x", i);
                lab.need(id, new Worker.Need(1_000, 1_000, 0));
                try {
                    lab.call(lab.otherEntry(), "POST", queue.prefix() + id, job);
                    Thread.sleep(230);
                } catch (java.io.IOException e) {
                    // The consumer doesn't ask again.
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        consumer.start();
        Thread.sleep(10_000);
        Worker worker = lab.workers.get(0);
        for (int i = 0; i < CUTS; i++) {
            if (Lab.hasTrouble()) {
                // 1 of 5 workers: srv_cut, share = 0.2, for_s = 2, how = "reborn".
                worker.cutOff();
                Thread.sleep(2_000);
                worker.crashAndStartAgain(worker.id);
                // lag_ms of the site.
                worker.endCut(800);
                Thread.sleep(10_000);
            } else {
                Thread.sleep(12_000);
            }
        }
        consumer.join();
        Thread.sleep(3_000);
        Map<String, Long> doneAtMs = new HashMap<>();
        for (Events.Event end : lab.events.of("end", PREFIX)) if (end.how().equals("done")) doneAtMs.putIfAbsent(end.task(), end.atMs());
        Map<String, Integer> notedAttempt = new HashMap<>();
        for (Events.Event noted : lab.events.of("noted", PREFIX)) if (noted.how().equals("done")) notedAttempt.merge(noted.task(), noted.attempt(), Math::min);
        int twice = 0;
        for (Events.Event start : lab.events.of("start", PREFIX)) {
            Long doneMs = doneAtMs.get(start.task());
            if (doneMs != null && doneMs < start.atMs() && notedAttempt.getOrDefault(start.task(), Integer.MAX_VALUE) < start.attempt()) {
                twice++;
                lab.note("TWICE: " + start.task() + "#" + start.attempt() + " was started " + (start.atMs() - doneMs) + " ms after an end 'done'");
            }
        }
        lab.finish(twice > 0, twice + " starts after the subtask had ended done, of " + doneAtMs.size() + " subtasks done");
    }
}
