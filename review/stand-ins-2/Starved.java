import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A job whose subtasks need one kind of worker waits while the service is almost empty, because a gang that can never be placed waits as
 * well.
 */
final class Starved extends Case implements Worker.Behaviour {
    private static final int WORKERS = 8;
    private static final String OTHER = "00000000000000b0";
    private static final String HOPELESS = "00000000000000b1";
    private static final String WAITING = "00000000000000b2";
    private static final long FINISH_MS = 14_000;
    private static final long IDLE_MS = 3_000;
    private final Set<String> running = new HashSet<>();

    Starved(String[] arguments) {
        super(arguments);
    }

    public static void main(String[] arguments) {
        new Starved(arguments).runAndExit(3);
    }

    @Override
    public long workMs(String task, String spec) {
        return spec.equals(OTHER) ? 90_000 : 1_000;
    }

    @Override
    public int acceleratorsOf(String task) {
        return task.startsWith(HOPELESS) ? Worker.ACCELERATORS : 1;
    }

    @Override
    public synchronized void began(Worker worker, String task, int attempt) {
        say("start of " + task + " attempt " + attempt + " at " + worker.id + " with labels " + worker.labels);
        running.add(task);
    }

    @Override
    public synchronized void ended(Worker worker, String task, int attempt, String how) {
        say("end of " + task + " attempt " + attempt + " at " + worker.id + ": " + how);
        running.remove(task);
    }

    @Override
    String play() throws Exception {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            String kind = i == 0 ? "b" : "a";
            workers.add(addWorker("i-%08x".formatted(0x7f3a0001 + i), 0, List.of(kind, "r1-" + i % 2), this));
        }
        Thread.sleep(3_000);
        submit("routine", OTHER, "[{\"count\":7,\"cpu\":1000,\"memMb\":1000,\"gpus\":1,\"estimateMs\":90000,\"constraints\":\"a\"}]");
        Thread.sleep(1_000);
        if (hasTrouble) {
            submit("planned", HOPELESS, "[{\"count\":" + (WORKERS + 1) + ",\"cpu\":8000,\"memMb\":8000,\"gpus\":8,\"estimateMs\":5000,\"gang\":true}]");
        }
        Thread.sleep(2_000);
        submit("routine", WAITING, "[{\"count\":1,\"cpu\":1000,\"memMb\":1000,\"gpus\":1,\"estimateMs\":1000,\"constraints\":\"b\"}]");
        say("the traffic ends");
        Thread.sleep(FINISH_MS);
        long idleSinceMs = nowMs();
        while (nowMs() - idleSinceMs < IDLE_MS) {
            Reply reply = call(entries.get(0), "GET", "/routine/" + WAITING, null, 3_000);
            say("GET " + WAITING + " -> " + reply.status() + " " + reply.body() + "; subtasks on " + workers.get(0).id + ": " + workers.get(0).runCount());
            if (reply.body().contains("completed")) return null;
            synchronized (this) {
                if (running.stream().anyMatch(task -> task.startsWith(WAITING))) return null;
            }
            Thread.sleep(500);
        }
        return "the job " + WAITING + " has nothing running for " + (nowMs() - idleSinceMs) + " ms, " + FINISH_MS + " ms after the end of the traffic; "
            + workers.get(0).id + " runs " + workers.get(0).runCount() + " subtasks and has room for 8, " + running.size() + " of " + 8 * WORKERS
            + " accelerators of the service are in use";
    }
}
