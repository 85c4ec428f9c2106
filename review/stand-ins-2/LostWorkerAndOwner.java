import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Entry 14 of KNOWN-RED.txt: a worker with subtasks that last loses power, and seconds later the owner is killed for good. */
final class LostWorkerAndOwner extends Case implements Worker.Behaviour {
    private static final String LASTING = "00000000000000d1";
    private static final int WORKERS = 6;
    private static final int SUBTASKS = 4;
    private static final long KILL_AFTER_MS = Long.getLong("killAfterMs", 4_000);
    private static final long LIMIT_MS = 9_000;
    private static final long CALM_MS = 7_000;
    private final Map<String, Long> startedAgainMs = new ConcurrentHashMap<>();
    private volatile boolean isLost;

    LostWorkerAndOwner(String[] arguments) {
        super(arguments);
    }

    public static void main(String[] arguments) {
        new LostWorkerAndOwner(arguments).runAndExit(3);
    }

    @Override
    public long workMs(String task, String spec) {
        return Long.MAX_VALUE;
    }

    @Override
    public void began(Worker worker, String task, int attempt) {
        say("start of " + task + " attempt " + attempt + " at " + worker.id);
        if (isLost) startedAgainMs.putIfAbsent(task, nowMs());
    }

    @Override
    String play() throws Exception {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) workers.add(addWorker("i-%08x".formatted(0x7f3a0001 + i), 0, List.of("a", "r1-" + i % 2), this));
        Thread.sleep(3_000);
        submit("routine", LASTING, "[{\"count\":" + SUBTASKS + ",\"cpu\":1000,\"memMb\":1000,\"gpus\":1,\"estimateMs\":1000,\"daemon\":true}]");
        Thread.sleep(4_000);
        Worker lost = workers.stream().filter(worker -> worker.runCount() > 0).findFirst().orElseThrow();
        long lostMs = nowMs();
        isLost = true;
        lost.losePower();
        say(lost.id + " loses power");
        Thread.sleep(KILL_AFTER_MS);
        long killedMs = lostMs;
        if (hasTrouble) {
            Entry owner = null;
            for (Entry entry : entries) {
                if (owner == null || entry.ownerSinceMs() > owner.ownerSinceMs()) owner = entry;
            }
            owner.kill();
            killedMs = nowMs();
            say(owner.name + " is killed for good");
        }
        while (startedAgainMs.size() < SUBTASKS && nowMs() < lostMs + 30_000) Thread.sleep(20);
        long lastMs = startedAgainMs.values().stream().max(Comparator.naturalOrder()).orElse(nowMs());
        say("the last subtask runs again after " + (lastMs - lostMs) + " ms, " + (lastMs - killedMs) + " ms after the last disruption");
        boolean isLate = lastMs > lostMs + LIMIT_MS && lastMs > killedMs + CALM_MS;
        return isLate ? "a subtask that lasts ran again only after " + (lastMs - lostMs) + " ms" : null;
    }
}
