import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A worker that runs subtasks on order. The text of a job, "ms=N", says how long its subtasks work; "ms=0" is endless. */
final class Worker {
    /** Resources as in the protocol: thousandths of a core, megabytes and accelerators. */
    record Need(int cpu, int memMb, int gpus) {}

    /** Tells what a subtask needs, and its share of the processor that counts. */
    interface Needs {
        Need of(String job, int step);
    }

    /** Tells whether a ticket allows a start. */
    interface Tickets {
        boolean allow(String task, String worker, String ticket);
    }

    private static final int HEARTBEAT_MS = 1_500;
    private static final int MAX_HOLD_MS = 10_000;
    private static final int STOP_MS = 100;
    private static final int AT_WORK_MS = 300;

    private final class Run {
        final String task;
        final int attempt;
        final long beganMs = now();
        final long workMs;
        long stopAtMs = Long.MAX_VALUE;

        Run(String task, int attempt, String spec) {
            this.task = task;
            this.attempt = attempt;
            workMs = Long.parseLong(spec.replaceFirst("ms=", ""));
        }

        Need need() {
            String[] parts = task.split("\\.");
            return needs.of(parts[0], Integer.parseInt(parts[2]));
        }

        int percent() {
            long took = now() - beganMs;
            return (int) Math.min(workMs == 0 ? 100 : 99, took * 100 / (workMs == 0 ? AT_WORK_MS : workMs));
        }
    }

    final String id;
    final String rack;
    private final Store store;
    private final Journal record;
    private final Needs needs;
    private final Tickets tickets;
    final Need capacity;
    private final String service;
    private final List<String> labels;
    private Http server;
    private int port;
    private final long zeroNs;
    private final long bornMs = System.currentTimeMillis();
    private long deadlineMs;
    private long highestFence;
    private long lastNumber;
    private long seq;
    private boolean isDraining;
    private long leavesAtMs;
    private volatile boolean isGone;

    /** Share of the calls that the worker refuses with 503, and does nothing. */
    volatile double refusedShare;
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final List<Object[]> ends = new ArrayList<>();

    Worker(String id, String kind, String rack, String service, Need capacity, Store store, Journal record, Needs needs,
        Tickets tickets, int port)
        throws Exception {
        this.id = id;
        this.rack = rack;
        this.labels = List.of(kind, rack);
        this.service = service;
        this.capacity = capacity;
        this.store = store;
        this.record = record;
        this.needs = needs;
        this.tickets = tickets;
        zeroNs = System.nanoTime() - 5_000_000_000L;
        server = new Http(port, this::answer);
        this.port = server.port;
        Thread beat = new Thread(this::beat, "beat");
        beat.setDaemon(true);
        beat.start();
        Thread work = new Thread(this::work, "work");
        work.setDaemon(true);
        work.start();
    }

    int port() {
        return port;
    }

    private long now() {
        return (System.nanoTime() - zeroNs) / 1_000_000;
    }

    boolean isThere() {
        return !isGone;
    }

    boolean takesWork() {
        return !isGone && !isDraining;
    }

    synchronized List<String> tasks() {
        return new ArrayList<>(runs.keySet());
    }

    synchronized Need used() {
        int cpu = 0;
        int memMb = 0;
        int gpus = 0;
        for (Run run : runs.values()) {
            cpu += run.need().cpu;
            memMb += run.need().memMb;
            gpus += run.need().gpus;
        }
        return new Need(cpu, memMb, gpus);
    }

    /** Reports that the worker drains and leaves no sooner than in {@code stayMs}. */
    void drain(long stayMs) {
        synchronized (this) {
            isDraining = true;
            leavesAtMs = now() + stayMs;
        }
        register();
        record.line("worker " + id + " drains and leaves in " + stayMs + " ms");
    }

    /** Reports that the worker drains, serves for {@code stayMs} after that and then exits. */
    void drainAndLeave(long stayMs) throws InterruptedException {
        drain(stayMs);
        Thread.sleep(stayMs);
        end("has left");
        store.remove("servers", id);
    }

    /** Ends the worker with all its runs, as a crash does; the entry in the store stays. */
    void end(String how) {
        synchronized (this) {
            isGone = true;
            record.line("worker " + id + " " + how + " with " + runs.keySet());
            runs.clear();
        }
        server.close();
    }

    /** Ends the worker with all its runs, as a loss of power does: its calls and channels stay without an answer. */
    void losePower() {
        synchronized (this) {
            isGone = true;
            record.line("worker " + id + " loses power for good with " + runs.keySet());
            runs.clear();
        }
    }

    private void beat() {
        try {
            while (!isGone) {
                register();
                Thread.sleep(HEARTBEAT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void register() {
        if (isGone) return;
        Map<String, Object> entry =
            Json.of("backend", service, "address", "127.0.0.1:" + port, "zone", "z1", "version", "v1", "slots", 8,
                "state", isDraining ? "draining" : "ready", "coldLeftMs", 0, "labels", labels, "clockMs", now(), "seq", ++seq);
        entry.put("capacity", Json.of("cpu", capacity.cpu, "memMb", capacity.memMb, "gpus", capacity.gpus));
        entry.put("born", bornMs);
        if (isDraining) entry.put("remainingMs", Math.max(0, leavesAtMs - now()));
        store.ping(id, entry);
    }

    /** Ends the runs that are done or stopped, and all of them when the lease has expired. */
    private void work() {
        while (!isGone) {
            synchronized (this) {
                for (Run run : List.copyOf(runs.values())) {
                    if (now() >= run.stopAtMs) end(run, "stopped");
                    else if (now() > deadlineMs) end(run, "lapsed");
                    else if (run.workMs > 0 && now() - run.beganMs >= run.workMs) end(run, "done");
                }
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void end(Run run, String how) {
        runs.remove(run.task);
        highestEnded.merge(run.task, run.attempt, Math::max);
        ends.add(new Object[] {++lastNumber, run.task, run.attempt, how});
        record.line("end " + run.task + " #" + run.attempt + " " + how + " on " + id);
        notifyAll();
    }

    private Http.Answer answer(Http.Call call) throws Exception {
        if (isGone) return null;
        if (call.expectedInstance() != null && !call.expectedInstance().equals(id)) {
            return new Http.Answer(421, Json.of("clockMs", now(), "born", bornMs));
        }
        if (ThreadLocalRandom.current().nextDouble() < refusedShare) {
            record.line(id + " refuses " + call.name() + " " + call.body().getOrDefault("task", ""));
            return new Http.Answer(503, Json.of());
        }
        return switch (call.name()) {
            case "hold" -> hold(call.body());
            case "run-start" -> start(call.body());
            case "run-stop" -> stop(call.body());
            case "health" -> new Http.Answer(200, Json.of());
            default -> new Http.Answer(404, Json.of());
        };
    }

    private synchronized Http.Answer hold(Map<String, Object> body) throws InterruptedException {
        if (isStale(body)) return refusal("fence");
        extend(body);
        long seen = (long) body.getOrDefault("lastSeen", 0L);
        ends.removeIf(end -> (long) end[0] <= seen);
        long endMs = now() + Math.min(2_000, (long) body.getOrDefault("waitMs", 0L));
        while (ends.isEmpty() && now() < endMs && !isGone) wait(Math.max(1, endMs - now()));
        if (isGone) return null;
        List<Object> running = new ArrayList<>();
        for (Run run : runs.values()) running.add(List.of(run.task, run.attempt, "", run.percent(), 0));
        List<Object> finished = new ArrayList<>();
        for (Object[] end : ends.subList(0, Math.min(500, ends.size()))) {
            finished.add(List.of(end[0], end[1], end[2], end[3], ""));
        }
        return new Http.Answer(200, Json.of("clockMs", now(), "born", bornMs, "running", running, "finished", finished));
    }

    private synchronized Http.Answer start(Map<String, Object> body) {
        String task = (String) body.get("task");
        int attempt = (int) (long) body.get("attempt");
        if (isStale(body)) return refusal("fence");
        Run present = runs.get(task);
        if (present != null && present.attempt == attempt) return accepted();
        if (present != null || attempt <= highestEnded.getOrDefault(task, 0)) {
            extend(body);
            return refusal("old");
        }
        if ((long) body.get("deadlineMs") <= now()) return refusal("late");
        if (!tickets.allow(task, id, (String) body.getOrDefault("ticket", ""))) return refusal("ticket");
        Run run = new Run(task, attempt, (String) body.get("spec"));
        Need need = run.need();
        Need used = used();
        extend(body);
        if (used.cpu + need.cpu > capacity.cpu || used.memMb + need.memMb > capacity.memMb || used.gpus + need.gpus > capacity.gpus) {
            return refusal("room");
        }
        runs.put(task, run);
        record.line("start " + task + " #" + attempt + " on " + id + " " + labels);
        return accepted();
    }

    private synchronized Http.Answer stop(Map<String, Object> body) {
        String task = (String) body.get("task");
        int attempt = (int) (long) body.get("attempt");
        if (isStale(body)) return refusal("fence");
        Run run = runs.get(task);
        if (run != null && run.attempt == attempt) run.stopAtMs = Math.min(run.stopAtMs, now() + STOP_MS);
        else highestEnded.merge(task, attempt, Math::max);
        return accepted();
    }

    private boolean isStale(Map<String, Object> body) {
        long fence = (long) body.getOrDefault("fenceToken", 0L);
        if (fence < highestFence) return true;
        highestFence = fence;
        return false;
    }

    private void extend(Map<String, Object> body) {
        Object wanted = body.get("deadlineMs");
        if (wanted != null) deadlineMs = Math.max(deadlineMs, Math.min((long) wanted, now() + MAX_HOLD_MS));
    }

    private Http.Answer accepted() {
        return new Http.Answer(200, Json.of("clockMs", now(), "born", bornMs));
    }

    private Http.Answer refusal(String reason) {
        return new Http.Answer(409, Json.of("clockMs", now(), "born", bornMs, "reason", reason));
    }
}
