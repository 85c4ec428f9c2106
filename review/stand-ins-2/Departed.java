import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Three of 15 workers drain, one after another, and stay for 25 s. They are cut from the store for 6 s, so that their entries expire, and
 * the store keeps no history for a second of that time. The workers and the instances reach one another all the time.
 */
final class Departed extends Case implements Worker.Behaviour {
    private static final int WORKERS = 15;
    private static final int LEAVING = 3;
    private static final long STAY_MS = 25_000;
    private static final long CUT_MS = 6_000;
    private static final long HISTORY_LOST_AFTER_MS = 2_400;
    private static final int DISCARDS = 10;
    private static final long DISCARD_MS = 100;
    private final Map<String, List<String>> running = new HashMap<>();
    private String broken;

    Departed(String[] arguments) {
        super(arguments);
    }

    public static void main(String[] arguments) {
        new Departed(arguments).runAndExit(3);
    }

    @Override
    public int acceleratorsOf(String task) {
        return Worker.ACCELERATORS;
    }

    @Override
    public long workMs(String task, String spec) {
        return 20_000;
    }

    @Override
    public synchronized void began(Worker worker, String task, int attempt) {
        say("start of " + task + " attempt " + attempt + " at " + worker.id);
        List<String> others = running.computeIfAbsent(task, name -> new ArrayList<>());
        if (!others.isEmpty()) {
            String found = task + " attempt " + attempt + " began at " + worker.id + " while it ran as " + others;
            say("TWICE: " + found);
            if (broken == null) broken = found;
        }
        others.add("attempt " + attempt + " at " + worker.id);
    }

    @Override
    public synchronized void ended(Worker worker, String task, int attempt, String how) {
        say("end of " + task + " attempt " + attempt + " at " + worker.id + ": " + how);
        running.getOrDefault(task, new ArrayList<>()).remove("attempt " + attempt + " at " + worker.id);
    }

    @Override
    String play() throws Exception {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) workers.add(addWorker("i-%08x".formatted(0x7f3a0001 + i), 0, List.of("a", "r1-" + i % 3), this));
        Thread.sleep(3_000);
        for (int i = 0; i < LEAVING; i++) {
            submit("routine", "00000000000000a" + i, "[{\"count\":1,\"cpu\":1000,\"memMb\":1000,\"gpus\":8,\"estimateMs\":20000}]");
            Thread.sleep(650);
        }
        List<Worker> leaving = workers.stream().filter(worker -> worker.runCount() > 0).toList();
        if (leaving.size() != LEAVING) throw new IllegalStateException("the jobs do not run");
        for (Worker worker : leaving) {
            say(worker.id + " drains with " + worker.runCount() + " subtask and stays for " + STAY_MS + " ms");
            worker.drain(STAY_MS);
            Thread.sleep(1_000);
        }
        if (hasTrouble) {
            for (Worker worker : leaving) worker.cutFromStore(true);
            say("the draining workers are cut from the store");
            Thread.sleep(HISTORY_LOST_AFTER_MS);
            for (Worker worker : leaving) say(worker.silentMs() + " ms have passed since the last report of " + worker.id);
            say("the store discards its history as it grows, for a second");
            for (int i = 0; i < DISCARDS; i++) {
                store.forgetHistory();
                Thread.sleep(DISCARD_MS);
            }
            Thread.sleep(CUT_MS - HISTORY_LOST_AFTER_MS - DISCARDS * DISCARD_MS);
            for (Worker worker : leaving) worker.cutFromStore(false);
            say("the draining workers reach the store again");
        }
        Thread.sleep(16_000);
        synchronized (this) {
            return broken;
        }
    }
}
