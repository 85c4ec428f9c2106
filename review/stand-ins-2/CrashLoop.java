import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A subtask that crashes each worker that starts it; the workers are back after 3 s with a new id and a new address. */
final class CrashLoop extends Case implements Worker.Behaviour {
    private static final String CULPRIT = "00000000000000c1";
    private static final int WORKERS = 6;
    private static final long BACK_MS = 3_000;
    private static final long LIMIT_MS = 85_000;
    private final AtomicInteger numbers = new AtomicInteger();
    private int crashes;
    private int startsAfterThree;

    CrashLoop(String[] arguments) {
        super(arguments);
    }

    public static void main(String[] arguments) {
        new CrashLoop(arguments).runAndExit(3);
    }

    private void begin(int rack) {
        try {
            int number = numbers.incrementAndGet();
            Worker worker = addWorker("i-%08x".formatted(0x7f3a0000 + number), 0, List.of("a", "r1-" + rack), this);
            say("worker " + worker.id + " begins at " + worker.address());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public long workMs(String task, String spec) {
        return 1_000;
    }

    @Override
    public void began(Worker worker, String task, int attempt) {
        say("start of " + task + " attempt " + attempt + " at " + worker.id);
        if (!task.startsWith(CULPRIT) || !hasTrouble) return;
        synchronized (this) {
            if (crashes >= 3) startsAfterThree++;
            crashes++;
        }
        Worker.daemon(() -> {
            Worker.sleep(100);
            say("worker " + worker.id + " crashes under " + task);
            worker.crash(false);
            Worker.sleep(BACK_MS);
            begin(Integer.parseInt(worker.labels.get(1).substring(3)));
        });
    }

    @Override
    public void ended(Worker worker, String task, int attempt, String how) {
        say("end of " + task + " attempt " + attempt + " at " + worker.id + ": " + how);
    }

    @Override
    String play() throws Exception {
        for (int i = 0; i < WORKERS; i++) begin(i % 2);
        Thread.sleep(3_000);
        submit("routine", CULPRIT, "[{\"count\":1,\"cpu\":1000,\"memMb\":1000,\"gpus\":1,\"estimateMs\":1000}]");
        String shown = "";
        while (nowMs() < LIMIT_MS) {
            Reply reply = call(entries.get(0), "GET", "/routine/" + CULPRIT, null, 3_000);
            String line = reply.status() + " " + reply.body();
            if (!line.equals(shown)) say("GET " + CULPRIT + " -> " + line);
            shown = line;
            synchronized (this) {
                if (startsAfterThree >= 3) {
                    return "the subtask was started " + startsAfterThree + " times more after 3 workers had crashed under it (" + crashes + " starts)";
                }
            }
            if (shown.contains("completed") || shown.contains("failed")) break;
            Thread.sleep(500);
        }
        return null;
    }
}
