import java.util.List;
import java.util.Map;

/**
 * A worker is cut off just before jobs come, and their starts get no answer. Rule MIXED: the queue's `pending` leaves these
 * jobs out, though none of their subtasks has started.
 */
final class PendingUnbegun {
    private static final String PREFIX = "5c0e7a21d94b36f";
    private static final int JOBS = 8;
    private static final long VISIBLE_MS = 3_000;
    private static final long SLACK_MS = 2_000;

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(arguments[0]);
        lab.plan = (task, attempt) -> new Worker.Course(20_000, "done");
        for (int i = 0; i < JOBS; i++) lab.need(PREFIX + i, new Worker.Need(11_000, 16_000, 1));
        Lab.Queue queue = new Lab.Queue("r-inspect", "/pule252/", 2, 2);
        lab.start(3, 5, List.of(queue), Map.of("kaje80", 16));
        Thread.sleep(5_000);
        // 1 of 5 workers: node_cut of servers, share = 0.2, for_s = 6, as in the site file. The idle worker that is named first gets the jobs.
        Worker worker = lab.workers.get(0);
        if (Lab.hasTrouble()) {
            worker.cutOff();
            Lab.after(6_000, worker::endCut);
        }
        Object job = Json.of("spec", "inspect", "phases", List.of(Json.of("count", 1, "cpu", 11_000, "memMb", 16_000, "gpus", 1, "estimateMs", 20_000)));
        long[] ackMs = new long[JOBS];
        for (int i = 0; i < JOBS; i++) {
            if (lab.call(lab.otherEntry(), "POST", queue.prefix() + PREFIX + i, job).status() != 200) lab.cannotRun("a job was not accepted");
            ackMs[i] = Lab.nowMs();
        }
        int wrong = 0;
        int asked = 0;
        String first = "";
        long endMs = Lab.nowMs() + 12_000;
        while (Lab.nowMs() < endMs) {
            Thread.sleep(100);
            long sentMs = Lab.nowMs();
            Lab.Reply reply = lab.call(lab.otherEntry(), "GET", queue.prefix(), null);
            if (reply.status() != 200) continue;
            asked++;
            int unbegun = 0;
            for (int i = 0; i < JOBS; i++) {
                String id = PREFIX + i;
                boolean isOld = ackMs[i] < sentMs - VISIBLE_MS - SLACK_MS;
                if (isOld && lab.events.of("start", id).isEmpty()) unbegun++;
            }
            long pending = Json.number(Json.object(reply.body()), "pending", 0);
            if (pending * 2 < unbegun) {
                wrong++;
                if (first.isEmpty()) first = "; the first gave " + pending + " of " + unbegun;
                lab.note("MIXED: pending is " + pending + ", and " + unbegun + " jobs accepted over 5 s before haven't begun");
            }
        }
        lab.finish(wrong > 0, wrong + " of " + asked + " answers gave under half of the jobs that were accepted over 5 s before and haven't begun" + first);
    }
}
