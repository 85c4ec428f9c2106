import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker has more than 500 ends that nobody has taken note of when a new owner claims it, because the owner was
 * killed. Rule TWICE.
 */
final class ManyEnds {
    private static final int JOBS = 12;

    // The widest jobs of the site omotnica-split.
    private static final int WIDTH = 72;
    private static final int ALL = JOBS * WIDTH;
    private static final String PREFIX = "5c0e7a21d94b36";

    private static String id(int job) {
        return PREFIX + (10 + job);
    }

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(arguments[0]);
        lab.plan = (task, attempt) -> new Worker.Course(6_000, "done");
        for (int i = 0; i < JOBS; i++) lab.need(id(i), new Worker.Need(100, 100, 0));
        lab.start(3, 4, List.of(new Lab.Queue("r-inspect", "/pule252/", 2, 2)), Map.of("kaje80", 8));
        Thread.sleep(2_000);
        Object job = Json.of("spec", "inspect", "phases", List.of(Json.of("count", WIDTH, "cpu", 100, "memMb", 100, "estimateMs", 6_000)));
        for (int i = 0; i < JOBS; i++) {
            if (lab.call(lab.otherEntry(), "POST", "/pule252/" + id(i), job).status() != 200) lab.cannotRun("a job was not accepted");
        }
        long endMs = Lab.nowMs() + 20_000;
        while (lab.events.of("start", PREFIX).size() < ALL) {
            if (Lab.nowMs() > endMs) lab.cannotRun("not all subtasks have started");
            Thread.sleep(20);
        }
        List<Events.Event> starts = lab.events.of("start", PREFIX);
        lab.note(ALL + " subtasks have started within " + (starts.get(ALL - 1).atMs() - starts.get(0).atMs()) + " ms");
        long firstEndMs = starts.get(0).atMs() + 6_000;
        Thread.sleep(Math.max(0, firstEndMs - Lab.nowMs()));
        if (Lab.hasTrouble()) {
            Entry owner = lab.ownerEntry();
            owner.kill();
            Thread.sleep(1_000);
            owner.start();
            lab.note("the killed process starts again");
        }
        endMs = Lab.nowMs() + 30_000;
        int completed = 0;
        for (int i = 0; i < JOBS; i++) {
            String state = "";
            while (!state.contains("completed") && !state.contains("failed") && Lab.nowMs() < endMs) {
                Thread.sleep(300);
                try {
                    state = lab.call(lab.otherEntry(), "GET", "/pule252/" + id(i), null).body();
                } catch (java.io.IOException e) {
                    state = "";
                }
            }
            if (state.contains("completed")) completed++;
        }
        Thread.sleep(3_000);
        judge(lab, completed);
    }

    /** TWICE: a start after a run has ended done, if that end is taken note of then or later. */
    private static void judge(Lab lab, int completed) {
        Map<String, Long> doneAtMs = new HashMap<>();
        for (Events.Event end : lab.events.of("end", PREFIX)) if (end.how().equals("done")) doneAtMs.putIfAbsent(end.task(), end.atMs());
        Map<String, Integer> notedAttempt = new HashMap<>();
        for (Events.Event noted : lab.events.of("noted", PREFIX)) if (noted.how().equals("done")) notedAttempt.merge(noted.task(), noted.attempt(), Math::min);
        int twice = 0;
        for (Events.Event start : lab.events.of("start", PREFIX)) {
            Long doneMs = doneAtMs.get(start.task());
            boolean isNoted = notedAttempt.getOrDefault(start.task(), Integer.MAX_VALUE) < start.attempt();
            if (doneMs != null && doneMs < start.atMs() && isNoted) twice++;
        }
        lab.finish(twice > 0, twice + " of " + ALL + " subtasks were started again after they had ended done; " + completed + " of " + JOBS + " jobs are completed");
    }
}
