import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A worker as PROTOCOL.md tells it. It guards its capacity, keeps leases and the fencing token, and lists its ends. */
final class Worker {
    /** How a run goes: how long it works, and how it ends. */
    record Course(long workMs, String how) {}

    interface Plan {
        Course courseOf(String task, int attempt);
    }

    /** What a subtask needs, and whether it lasts. */
    record Need(int cpu, int memMb, int gpus) {}

    private static final class Run {
        final String task;
        final int attempt;
        final long startedMs = Lab.nowMs();
        final Course course;
        final Need need;
        long stopAtMs = -1;

        Run(String task, int attempt, Course course, Need need) {
            this.task = task;
            this.attempt = attempt;
            this.course = course;
            this.need = need;
        }
    }

    private record End(long number, String task, int attempt, String how) {}

    private static final long BEAT_MS = 1_500;
    private static final long MAX_HOLD_MS = 6_000;
    private static final long STOP_MS = 200;
    private static final int MAX_ENDS = 500;

    volatile String id;
    final String rack;
    private final Lab lab;
    private final Http http;
    private long bornMs = System.currentTimeMillis();
    private long clockFromMs = Lab.nowMs();
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, Integer> closedAttempts = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private long ended;
    private long seen;
    private long fence;
    private long leaseMs;
    private long seq;
    private volatile boolean isDark;
    private volatile boolean isCut;
    private volatile long beatsFromMs;

    Worker(Lab lab, String id, String rack) throws IOException {
        this.lab = lab;
        this.id = id;
        this.rack = rack;
        http = new Http(this::answer);
        Lab.every(10, this::tick);
        Lab.every(BEAT_MS, this::beat);
    }

    /** Loses power for good: nothing runs, no call is answered, and the entry expires after three beats. */
    synchronized void losePower() {
        isDark = true;
        for (Run run : runs.values()) lab.events.ended(this, run.task, run.attempt, "power", 0);
        runs.clear();
        lab.note("worker " + id + " loses power for good");
        Lab.after(3 * BEAT_MS, () -> lab.store.delete("servers", id));
    }

    /** Is cut off from now on: no call is answered or carried out, and no beat reaches the store. */
    void cutOff() {
        isCut = true;
        lab.note("worker " + id + " is cut off");
        String before = id;
        Lab.after(3 * BEAT_MS, () -> {
            if (isCut || !id.equals(before)) lab.store.delete("servers", before);
        });
    }

    /** Crashes behind the cut and starts again as another instance at the same address. */
    synchronized void crashAndStartAgain(String newId) {
        for (Run run : runs.values()) lab.events.ended(this, run.task, run.attempt, "crash", 0);
        lab.note("worker " + id + " crashes, and starts again as " + newId);
        runs.clear();
        closedAttempts.clear();
        ends.clear();
        ended = 0;
        seen = 0;
        fence = 0;
        leaseMs = 0;
        seq = 0;
        bornMs = System.currentTimeMillis();
        clockFromMs = Lab.nowMs();
        id = newId;
    }

    void endCut() {
        endCut(0);
    }

    /** Answers again from now on; its entry is written [lagMs] later. */
    void endCut(long lagMs) {
        beatsFromMs = Lab.nowMs() + lagMs;
        isCut = false;
        lab.note("worker " + id + " is no longer cut off");
        Lab.after(lagMs, this::beat);
    }

    synchronized int runCount() {
        return runs.size();
    }

    private void beat() {
        if (isDark || isCut || Lab.nowMs() < beatsFromMs) return;
        Map<String, Object> entry =
            Json.of(
                "backend", Lab.SERVICE, "address", "127.0.0.1:" + http.port, "zone", "split-a", "version", "v1",
                "slots", 8, "state", "ready", "coldLeftMs", 0,
                "capacity", Json.of("cpu", Lab.CPU, "memMb", Lab.MEM_MB, "gpus", Lab.GPUS),
                "labels", List.of("a", rack), "clockMs", clockMs(), "seq", ++seq, "born", bornMs, "machine", "m-" + id);
        lab.store.put("servers", id, Json.write(entry));
    }

    private long clockMs() {
        return 1_000 + Lab.nowMs() - clockFromMs;
    }

    private synchronized void tick() {
        if (isDark) return;
        long now = Lab.nowMs();
        for (Run run : new ArrayList<>(runs.values())) {
            if (run.stopAtMs >= 0 && now >= run.stopAtMs) end(run, "stopped");
            else if (run.stopAtMs < 0 && now - run.startedMs >= run.course.workMs) end(run, run.course.how);
            else if (clockMs() > leaseMs) end(run, "lapsed");
        }
    }

    private void end(Run run, String how) {
        runs.remove(run.task + "#" + run.attempt);
        closedAttempts.merge(run.task, run.attempt, Math::max);
        End end = new End(++ended, run.task, run.attempt, how);
        ends.add(end);
        lab.events.ended(this, run.task, run.attempt, how, end.number);
        notifyAll();
    }

    private Http.Answer answer(String call, HttpExchange exchange, String body) throws Exception {
        if (isDark || isCut) return null;
        String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
        if (expected != null && !expected.equals(id)) return new Http.Answer(421, "{}");
        Map<String, Object> order = Json.object(body);
        return switch (call) {
            case "run-start" -> start(order);
            case "run-stop" -> stop(order);
            case "hold" -> hold(order);
            case "health" -> new Http.Answer(200, "{}");
            default -> new Http.Answer(404, "{}");
        };
    }

    private Http.Answer refused(String reason) {
        return new Http.Answer(409, Json.write(Json.of("clockMs", clockMs(), "reason", reason)));
    }

    private boolean isFenced(Map<String, Object> order) {
        long token = Json.number(order, "fenceToken", 0);
        if (token < fence) return true;
        fence = token;
        return false;
    }

    private void extend(Map<String, Object> order) {
        leaseMs = Math.max(leaseMs, Math.min(Json.number(order, "deadlineMs", 0), clockMs() + MAX_HOLD_MS));
    }

    private synchronized Http.Answer start(Map<String, Object> order) {
        if (isFenced(order)) return refused("fence");
        String task = Json.text(order, "task");
        int attempt = (int) Json.number(order, "attempt", 0);
        if (Json.number(order, "deadlineMs", 0) <= clockMs()) return refused("late");
        extend(order);
        if (runs.containsKey(task + "#" + attempt)) return new Http.Answer(200, Json.write(Json.of("clockMs", clockMs())));
        if (attempt <= closedAttempts.getOrDefault(task, 0)) return refused("old");
        Need need = lab.needOf(task);
        int cpu = need.cpu;
        int mem = need.memMb;
        int gpus = need.gpus;
        for (Run run : runs.values()) {
            cpu += run.need.cpu;
            mem += run.need.memMb;
            gpus += run.need.gpus;
        }
        if (cpu > Lab.CPU || mem > Lab.MEM_MB || gpus > Lab.GPUS) return refused("room");
        runs.put(task + "#" + attempt, new Run(task, attempt, lab.plan.courseOf(task, attempt), need));
        lab.events.started(this, task, attempt);
        return new Http.Answer(200, Json.write(Json.of("clockMs", clockMs())));
    }

    private synchronized Http.Answer stop(Map<String, Object> order) {
        if (isFenced(order)) return refused("fence");
        String task = Json.text(order, "task");
        int attempt = (int) Json.number(order, "attempt", 0);
        Run run = runs.get(task + "#" + attempt);
        if (run == null) closedAttempts.merge(task, attempt, Math::max);
        else if (run.stopAtMs < 0) run.stopAtMs = Lab.nowMs() + STOP_MS / 2;
        return new Http.Answer(200, Json.write(Json.of("clockMs", clockMs())));
    }

    private synchronized Http.Answer hold(Map<String, Object> order) throws InterruptedException {
        if (isFenced(order)) return refused("fence");
        extend(order);
        long lastSeen = Json.number(order, "lastSeen", 0);
        for (End end : ends) if (end.number <= lastSeen && end.number > seen) lab.events.noted(this, end.task, end.attempt, end.how);
        seen = Math.max(seen, lastSeen);
        ends.removeIf(end -> end.number <= lastSeen);
        long endMs = Lab.nowMs() + Math.min(2_000, Json.number(order, "waitMs", 0));
        String asked = id;
        while (ends.isEmpty() && !isDark && !isCut && Lab.nowMs() < endMs) wait(Math.max(1, endMs - Lab.nowMs()));
        if (isDark || isCut || !id.equals(asked)) return null;
        List<Object> running = new ArrayList<>();
        for (Run run : runs.values()) {
            long percent = Math.min(100, 100 * (Lab.nowMs() - run.startedMs) / Math.max(1, Math.min(run.course.workMs, 1_000_000)));
            if (run.course.workMs > 1_000_000) percent = 100;
            running.add(List.of(run.task, run.attempt, "", percent, 0));
        }
        List<Object> finished = new ArrayList<>();
        for (End end : ends.subList(0, Math.min(MAX_ENDS, ends.size()))) {
            finished.add(List.of(end.number, end.task, end.attempt, end.how, ""));
        }
        if (finished.size() == MAX_ENDS) lab.note("worker " + id + " lists 500 of " + ends.size() + " ends, " + runs.size() + " running");
        return new Http.Answer(
            200, Json.write(Json.of("clockMs", clockMs(), "born", bornMs, "running", running, "finished", finished)));
    }
}
