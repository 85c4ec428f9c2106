import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * All open channels of the instances, to the store and to the workers, go silent at one moment, without a reset, while new ones work.
 * Some seconds before, many consumers have asked for a job at once, so each instance has many open channels to the store.
 */
final class Silence extends Case implements Worker.Behaviour {
    private static final String LASTING = "00000000000000d1";
    private static final int WORKERS = 6;
    private static final int SUBTASKS = 4;
    private static final int BURST = 80;
    private static final long CONTACT_MS = 3_000;
    private static final long WATCH_MS = 50_000;
    private final Map<String, Long> runningSince = new ConcurrentHashMap<>();
    private final Map<String, Long> idleSince = new ConcurrentHashMap<>();
    private final List<Proxy> proxies = new ArrayList<>();

    Silence(String[] arguments) {
        super(arguments);
    }

    public static void main(String[] arguments) {
        new Silence(arguments).runAndExit(3);
    }

    @Override
    public long workMs(String task, String spec) {
        return Long.MAX_VALUE;
    }

    @Override
    public void began(Worker worker, String task, int attempt) {
        say("start of " + task + " attempt " + attempt + " at " + worker.id);
        idleSince.remove(task);
        runningSince.put(task, nowMs());
    }

    @Override
    public void ended(Worker worker, String task, int attempt, String how) {
        say("end of " + task + " attempt " + attempt + " at " + worker.id + ": " + how);
        runningSince.remove(task);
        idleSince.put(task, nowMs());
    }

    @Override
    String play() throws Exception {
        for (int i = 0; i < WORKERS; i++) {
            Worker worker = addWorker("i-%08x".formatted(0x7f3a0001 + i), 0, List.of("a", "r1-" + i % 2), this);
            Proxy proxy = new Proxy(worker.port());
            proxies.add(proxy);
            worker.registerAs("127.0.0.1:" + proxy.port());
        }
        Thread.sleep(3_000);
        submit("routine", LASTING, "[{\"count\":" + SUBTASKS + ",\"cpu\":1000,\"memMb\":1000,\"gpus\":1,\"estimateMs\":1000,\"daemon\":true}]");
        Thread.sleep(3_000);
        if (runningSince.size() != SUBTASKS) throw new IllegalStateException("the lasting job does not run");
        for (int round = 0; round < 3; round++) burst();
        say("open channels to the store: " + entries.stream().map(entry -> entry.name + " " + entry.store.openConnections()).toList());
        Thread.sleep(4_000);
        long silentMs = nowMs();
        if (hasTrouble) {
            entries.forEach(entry -> entry.store.silence());
            proxies.forEach(Proxy::silence);
            say("the open channels to the store and to the workers go silent");
        }
        return watch(silentMs);
    }

    /** Many consumers ask for the state of jobs at once, at every instance. */
    private void burst() throws InterruptedException {
        ExecutorService callers = Executors.newFixedThreadPool(BURST * entries.size());
        for (Entry entry : entries) {
            for (int i = 0; i < BURST; i++) callers.execute(() -> call(entry, "GET", "/routine/" + LASTING, null, 3_000));
        }
        callers.shutdown();
        callers.awaitTermination(10, TimeUnit.SECONDS);
        say(BURST + " consumers at once at each instance have their answers");
    }

    private String watch(long silentMs) throws Exception {
        String broken = null;
        long lastSayMs = 0;
        while (nowMs() < silentMs + WATCH_MS) {
            long now = nowMs();
            if (now - lastSayMs > 1_000) {
                lastSayMs = now;
                StringBuilder line = new StringBuilder();
                for (Entry entry : entries) line.append(' ').append(call(entry, "GET", "/routine/" + LASTING, null, 1_000).status());
                say("GET " + LASTING + " at each instance ->" + line + "; subtasks running: " + runningSince.size() + " of " + SUBTASKS);
            }
            for (Map.Entry<String, Long> idle : idleSince.entrySet()) {
                // From 6 s after the last run; the 3 s and the 4 s before them have to be calm, which is so contactMs after the silence.
                long countsFromMs = Math.max(idle.getValue() + 6_000, silentMs + CONTACT_MS + 4_000);
                if (broken == null && now >= countsFromMs + 3_000) {
                    broken = idle.getKey() + " has nothing running for " + (now - idle.getValue()) + " ms, " + (now - silentMs) + " ms after the silence began";
                    say("BROKEN: " + broken);
                }
            }
            Thread.sleep(50);
        }
        return broken;
    }
}
