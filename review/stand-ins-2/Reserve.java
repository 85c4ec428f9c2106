import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A subtask that lasts, and that needs one kind of worker, fails just after many urgent jobs have come at once and ended. */
final class Reserve extends Case implements Worker.Behaviour {
    private static final int WORKERS = 8;
    private static final int URGENT_JOBS = 10;
    private static final int URGENT_SUBTASKS = 4;
    private static final String LASTING = "00000000000000d1";
    private final Map<String, Long> running = new ConcurrentHashMap<>();
    private volatile long idleSinceMs;

    Reserve(String[] arguments) {
        super(arguments);
    }

    public static void main(String[] arguments) {
        new Reserve(arguments).runAndExit(3);
    }

    @Override
    public long workMs(String task, String spec) {
        return spec.equals(LASTING) ? Long.MAX_VALUE : 2_500;
    }

    @Override
    public void began(Worker worker, String task, int attempt) {
        say("start of " + task + " attempt " + attempt + " at " + worker.id);
        running.put(task, nowMs());
    }

    @Override
    public void ended(Worker worker, String task, int attempt, String how) {
        say("end of " + task + " attempt " + attempt + " at " + worker.id + ": " + how);
        running.remove(task);
        if (task.startsWith(LASTING)) idleSinceMs = nowMs();
    }

    @Override
    String play() throws Exception {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            workers.add(addWorker("i-%08x".formatted(0x7f3a0001 + i), 0, List.of(i == 0 ? "b" : "a", "r1-" + i / 2), this));
        }
        Thread.sleep(3_000);
        submit("routine", LASTING, "[{\"count\":1,\"cpu\":1000,\"memMb\":1000,\"gpus\":1,\"estimateMs\":1000,\"constraints\":\"b\",\"daemon\":true}]");
        Thread.sleep(3_000);
        if (hasTrouble) {
            for (int i = 0; i < URGENT_JOBS; i++) {
                submit("urgent", "00000000000000f" + i, "[{\"count\":" + URGENT_SUBTASKS + ",\"cpu\":1000,\"memMb\":1000,\"gpus\":1,\"estimateMs\":2500}]");
            }
        }
        Thread.sleep(4_000);
        if (running.size() != 1) throw new IllegalStateException("the urgent jobs have not ended");
        workers.get(0).fail(LASTING + ".0.0.0");
        long failedMs = idleSinceMs;
        // From 6 s after its last run, for 3 s.
        while (nowMs() < failedMs + 30_000) {
            if (!running.isEmpty()) break;
            Thread.sleep(20);
        }
        long idleMs = nowMs() - failedMs;
        say(LASTING + " had nothing running for " + idleMs + " ms");
        if (idleMs < 9_000) return null;
        return LASTING + " had nothing running for " + idleMs + " ms, with all " + 8 * WORKERS + " accelerators of the service free";
    }
}
