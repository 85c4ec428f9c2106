import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One life of a worker. It follows the pages: fencing token, leases on its own clock, numbered ends, refusals. It registers
 * itself in the store each 1.5 s from the moment it serves; its entry expires 4.5 s after the last report.
 */
final class Worker {
    static final long HEARTBEAT_MS = 1_500;
    private static final long ENTRY_TTL_MS = 3 * HEARTBEAT_MS;
    private static final long MAX_HOLD_MS = 6_000;
    private static final long STOP_MS = 100;

    /** Accelerators of each worker; the jobs of the cases need little of anything else. */
    static final int ACCELERATORS = 8;

    /** What a worker does with its tasks, and what is told of it. */
    interface Behaviour {
        /** Time that a run of [task] works, in ms; Long.MAX_VALUE for one that lasts. */
        long workMs(String task, String spec);

        /** Accelerators that a run of [task] needs. */
        default int acceleratorsOf(String task) {
            return 1;
        }

        /** Called when the run has begun; may end the life of the worker. */
        void began(Worker worker, String task, int attempt);

        default void ended(Worker worker, String task, int attempt, String how) {}
    }

    private static final class Run {
        String task;
        int attempt;
        long beganMs;
        long workMs;
        long stopsAtMs = Long.MAX_VALUE;
    }

    final String id;
    final String service;
    final List<String> labels;
    private final Store store;
    private final Behaviour behaviour;
    private final StandInServer server;
    private final long bornUnixMs = System.currentTimeMillis();
    private final long bornNs = System.nanoTime();
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, Integer> closedAttempts = new HashMap<>();
    private final List<List<Object>> ends = new ArrayList<>();
    private long endNumber;
    private long token;
    private long deadlineMs;
    private long sequence;
    private volatile boolean isDead;

    /** Whether the worker has no power: it answers nothing, its connections hang, and it runs nothing. */
    private volatile boolean isPowerless;

    /** Whether the worker reports that it drains; it leaves [leavesInMs] after that at the earliest. */
    private volatile boolean isDraining;
    private volatile long leavesAtMs;

    /** Whether the worker reaches the store. Its entry expires three report intervals after its last report. */
    private volatile boolean reachesStore = true;
    private long lastReportMs;
    private volatile String address;

    Worker(String id, int port, List<String> labels, Store store, Behaviour behaviour) throws IOException {
        this.id = id;
        this.service = "pool";
        this.labels = labels;
        this.store = store;
        this.behaviour = behaviour;
        server = new StandInServer(port, this::answer);
        address = server.address();
        daemon(this::work);
        daemon(this::report);
    }

    int port() {
        return server.port();
    }

    String address() {
        return address;
    }

    /** Registers [newAddress], that of a proxy in front of the worker, in place of its own. */
    synchronized void registerAs(String newAddress) {
        address = newAddress;
        reportOnce();
    }

    static void daemon(Runnable action) {
        Thread thread = new Thread(action, "worker");
        thread.setDaemon(true);
        thread.start();
    }

    private long clockMs() {
        return (System.nanoTime() - bornNs) / 1_000_000;
    }

    boolean isDead() {
        return isDead;
    }

    synchronized int runCount() {
        return runs.size();
    }

    /** Ends this life: connections are closed, nothing runs any more, and the entry in the store expires by itself. */
    void crash(boolean isReplacedUnderItsId) {
        synchronized (this) {
            if (isDead) return;
            isDead = true;
            runs.clear();
            notifyAll();
        }
        server.close();
        if (isReplacedUnderItsId) return;
        daemon(() -> {
            sleep(ENTRY_TTL_MS);
            store.remove("servers", id);
        });
    }

    /** Ends the worker for good, without closing a connection. Its entry in the store expires by itself. */
    void losePower() {
        synchronized (this) {
            isPowerless = true;
            runs.clear();
        }
        daemon(() -> {
            sleep(ENTRY_TTL_MS - silentMs());
            store.remove("servers", id);
        });
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The worker reports at once that it drains and will stay for [remainingMs]. */
    void drain(long remainingMs) {
        leavesAtMs = clockMs() + remainingMs;
        isDraining = true;
        reportOnce();
    }

    void cutFromStore(boolean isCut) {
        reachesStore = !isCut;
        if (!isCut) reportOnce();
    }

    /** Time since the last report that reached the store, in ms. */
    synchronized long silentMs() {
        return clockMs() - lastReportMs;
    }

    private synchronized void reportOnce() {
        if (isDead || isPowerless) return;
        if (!reachesStore) {
            if (silentMs() >= ENTRY_TTL_MS) store.remove("servers", id);
            return;
        }
        Map<String, Object> entry =
            Json.map(
                "backend", service, "address", address, "zone", "z1", "version", "v1", "slots", 8, "state", isDraining ? "draining" : "ready",
                "coldLeftMs", 0, "capacity", Json.map("cpu", 32_000, "memMb", 131_072, "gpus", ACCELERATORS), "labels", labels, "clockMs", clockMs(),
                "seq", ++sequence, "born", bornUnixMs);
        if (isDraining) entry.put("remainingMs", Math.max(0, leavesAtMs - clockMs()));
        store.put("servers", id, Json.write(entry));
        lastReportMs = clockMs();
    }

    private void report() {
        while (!isDead) {
            reportOnce();
            long untilExpiryMs = reachesStore ? HEARTBEAT_MS : Math.max(10, ENTRY_TTL_MS - silentMs());
            sleep(Math.min(HEARTBEAT_MS, untilExpiryMs));
        }
    }

    /** The run of [task] fails at once. */
    synchronized void fail(String task) {
        Run run = runs.get(task);
        if (run != null) end(run, "failed");
    }

    /** Ends runs whose work, lease or stop is over. */
    private void work() {
        while (!isDead) {
            synchronized (this) {
                long now = clockMs();
                for (Run run : new ArrayList<>(runs.values())) {
                    if (now >= deadlineMs) end(run, "lapsed");
                    else if (now >= run.stopsAtMs) end(run, "stopped");
                    else if (run.workMs != Long.MAX_VALUE && now - run.beganMs >= run.workMs) end(run, "done");
                }
            }
            sleep(10);
        }
    }

    private void end(Run run, String how) {
        runs.remove(run.task);
        closedAttempts.merge(run.task, run.attempt, Math::max);
        ends.add(List.of(++endNumber, run.task, run.attempt, how, ""));
        behaviour.ended(this, run.task, run.attempt, how);
        notifyAll();
    }

    private StandInServer.Answer answer(StandInServer.Call call) throws Exception {
        if (isDead || isPowerless) return null;
        if (call.expectedInstance() != null && !call.expectedInstance().equals(id)) return new StandInServer.Answer(421, "{}");
        Thread.sleep(1);
        Map<String, Object> body = call.body();
        String began = null;
        StandInServer.Answer answer;
        synchronized (this) {
            long fence = Json.num(body, "fenceToken", 0);
            if (fence < token) return refusal("fence");
            token = fence;
            switch (call.name()) {
                case "hold" -> answer = hold(body);
                case "run-start" -> {
                    int before = runs.size();
                    answer = start(body);
                    if (runs.size() > before) began = Json.str(body, "task");
                }
                case "run-stop" -> answer = stop(body);
                default -> answer = new StandInServer.Answer(404, "{}");
            }
        }
        if (began != null) behaviour.began(this, began, (int) Json.num(body, "attempt", 0));
        return isDead || isPowerless ? null : answer;
    }

    private StandInServer.Answer refusal(String reason) {
        return new StandInServer.Answer(409, Json.write(Json.map("clockMs", clockMs(), "reason", reason)));
    }

    private StandInServer.Answer acknowledgement() {
        return new StandInServer.Answer(200, Json.write(Json.map("clockMs", clockMs())));
    }

    private void extend(long newDeadlineMs) {
        deadlineMs = Math.max(deadlineMs, Math.min(newDeadlineMs, clockMs() + MAX_HOLD_MS));
    }

    private StandInServer.Answer start(Map<String, Object> body) {
        String task = Json.str(body, "task");
        int attempt = (int) Json.num(body, "attempt", 0);
        long newDeadlineMs = Json.num(body, "deadlineMs", 0);
        if (newDeadlineMs <= clockMs()) return refusal("late");
        extend(newDeadlineMs);
        Run present = runs.get(task);
        if (present != null && present.attempt == attempt) return acknowledgement();
        if (present != null || attempt <= closedAttempts.getOrDefault(task, 0)) return refusal("old");
        int used = runs.keySet().stream().mapToInt(behaviour::acceleratorsOf).sum();
        if (used + behaviour.acceleratorsOf(task) > ACCELERATORS) return refusal("room");
        Run run = new Run();
        run.task = task;
        run.attempt = attempt;
        run.beganMs = clockMs();
        run.workMs = behaviour.workMs(task, Json.str(body, "spec"));
        runs.put(task, run);
        return acknowledgement();
    }

    private StandInServer.Answer stop(Map<String, Object> body) {
        String task = Json.str(body, "task");
        int attempt = (int) Json.num(body, "attempt", 0);
        closedAttempts.merge(task, attempt, Math::max);
        Run run = runs.get(task);
        if (run != null && run.attempt <= attempt) run.stopsAtMs = Math.min(run.stopsAtMs, clockMs() + STOP_MS);
        return acknowledgement();
    }

    private StandInServer.Answer hold(Map<String, Object> body) throws InterruptedException {
        if (body.containsKey("deadlineMs")) extend(Json.num(body, "deadlineMs", 0));
        long lastSeen = Json.num(body, "lastSeen", 0);
        ends.removeIf(end -> (Long) end.get(0) <= lastSeen);
        long endMs = clockMs() + Math.min(2_000, Json.num(body, "waitMs", 0));
        while (ends.isEmpty() && !isDead && clockMs() < endMs) wait(endMs - clockMs());
        List<Object> running = new ArrayList<>();
        for (Run run : runs.values()) {
            long percent = run.workMs == Long.MAX_VALUE ? 100 : Math.min(99, 100 * (clockMs() - run.beganMs) / Math.max(1, run.workMs));
            running.add(List.of(run.task, run.attempt, "", percent));
        }
        List<Object> listed = new ArrayList<>(ends.subList(0, Math.min(500, ends.size())));
        return new StandInServer.Answer(
            200, Json.write(Json.map("clockMs", clockMs(), "born", bornUnixMs, "running", running, "finished", listed)));
    }
}
