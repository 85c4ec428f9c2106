import java.util.List;
import java.util.Map;

/**
 * The operator removes a queue while two of its jobs run, and adds it again later. Rules BUDGET and LOST: the number of
 * attempts of the removed queue is forgotten.
 */
final class RemovedQueue {
    private static final String FEW = "5c0e7a21d94b36f8";
    private static final String MANY = "5c0e7a21d94b36f9";
    private static final int FEW_ATTEMPTS = 2;
    private static final int MANY_ATTEMPTS = 5;

    // The runs of MANY that fail by their own fault; the next one ends done.
    private static final int MANY_FAILURES = 3;

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(arguments[0]);
        lab.plan = (task, attempt) ->
            new Worker.Course(1_500, task.startsWith(FEW) || attempt <= MANY_FAILURES ? "failed" : "done");
        lab.need(FEW, new Worker.Need(11_000, 16_000, 1));
        lab.need(MANY, new Worker.Need(11_000, 16_000, 1));
        Lab.Queue stays = new Lab.Queue("r-plan", "/pufi791/", 0, 4);
        Lab.Queue few = new Lab.Queue("r-inspect", "/pule252/", 2, FEW_ATTEMPTS);
        Lab.Queue many = new Lab.Queue("r-forecast", "/lohu930/", 1, MANY_ATTEMPTS);
        Map<String, Integer> tenants = Map.of("kaje80", 8);
        lab.start(3, 4, List.of(stays, few, many), tenants);
        Thread.sleep(2_000);
        Object job = Json.of("spec", "inspect", "phases", List.of(Json.of("count", 1, "cpu", 11_000, "memMb", 16_000, "gpus", 1, "estimateMs", 1_500)));
        if (lab.call(lab.otherEntry(), "POST", few.prefix() + FEW, job).status() != 200) lab.cannotRun("a job was not accepted");
        if (lab.call(lab.otherEntry(), "POST", many.prefix() + MANY, job).status() != 200) lab.cannotRun("a job was not accepted");
        long endMs = Lab.nowMs() + 10_000;
        while (lab.events.of("start", "").size() < 2) {
            if (Lab.nowMs() > endMs) lab.cannotRun("the jobs do not start");
            Thread.sleep(20);
        }
        if (Lab.hasTrouble()) lab.publish(List.of(stays), tenants);
        Thread.sleep(15_000);
        if (Lab.hasTrouble()) lab.publish(List.of(stays, few, many), tenants);
        Thread.sleep(3_000);
        String fewState = lab.call(lab.otherEntry(), "GET", few.prefix() + FEW, null).body();
        String manyState = lab.call(lab.otherEntry(), "GET", many.prefix() + MANY, null).body();
        int fewStarts = lab.events.of("start", FEW).size();
        int manyStarts = lab.events.of("start", MANY).size();
        long noted = lab.events.of("noted", FEW).stream().filter(event -> event.how().equals("failed")).count();
        // BUDGET: a start after maxAttempts runs have ended failed, if these ends are taken note of.
        boolean isOverBudget = fewStarts > FEW_ATTEMPTS && noted > FEW_ATTEMPTS - 1;
        // LOST: shown as failed without cause.
        boolean isLost = manyState.contains("failed") && manyStarts < MANY_ATTEMPTS;
        lab.finish(
            isOverBudget || isLost,
            "the job with maxAttempts 2 was started " + fewStarts + " times and is " + fewState + "; the job with maxAttempts 5 was started " +
                manyStarts + " times and is " + manyState);
    }
}
