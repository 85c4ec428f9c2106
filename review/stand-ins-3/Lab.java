import java.io.File;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small installation: the store, workers, and entry processes started with the command of the deploy file. */
final class Lab implements AutoCloseable {
    static final String SERVICE = "huvo11a";
    static final String KEY = "d4a3hwrr6x73d3zji9n7";
    static final String HOST = "nony24.example";

    /** Queues by priority, with the figures of the site's three kinds of request. */
    static final List<String> PREFIXES = List.of("/pufi791/", "/lohu930/", "/pule252/", "/gavo118/");

    /** The queue of whose steps only some workers may run each; its priority is that of the second queue. */
    static final int ADVISED = 3;

    final Journal record;
    final Store store;
    final Advice advice;
    private final Set<String> advisedJobs = ConcurrentHashMap.newKeySet();
    final List<Worker> workers = new CopyOnWriteArrayList<>();
    static {
        // The host of a request selects the queue.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private final Path folder;
    private final Path root;
    private final List<Process> entries = new ArrayList<>();
    private final List<Integer> callerPorts = new ArrayList<>();
    private final List<Integer> readyPorts = new ArrayList<>();
    private final List<Integer> metricsPorts = new ArrayList<>();
    private final HttpClient client =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();
    private final Map<String, Worker.Need> needs = new HashMap<>();
    private int calls;

    Lab(Path caseFolder, Path folder, Path root) throws Exception {
        this.folder = folder;
        this.root = root;
        record = new Journal(caseFolder.resolve("record.txt"));
        store = new Store();
        advice = new Advice(record);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> entries.forEach(Process::destroyForcibly)));
        publishManifest();
    }

    /** Adds {@code count} workers of the site's size, {@code perRack} a rack. */
    void addWorkers(int count, int perRack) throws Exception {
        for (int i = 0; i < count; i++) addWorker(String.format("i-%08x", 0x10000 + i), "a", "r1-" + i / perRack, 0);
    }

    Worker addWorker(String id, String kind, String rack, int port) throws Exception {
        Worker.Need capacity = new Worker.Need(32_000, 131_072, 8);
        Worker worker = new Worker(id, kind, rack, SERVICE, capacity, store, record, this::needOf, this::isAllowed, port);
        workers.add(worker);
        return worker;
    }

    /** Starts {@code worker}, which has crashed, again under its id and address; it refuses {@code refusedShare} of its calls. */
    Worker restart(Worker worker, double refusedShare) throws Exception {
        Worker next =
            new Worker(worker.id, "a", worker.rack, SERVICE, worker.capacity, store, record, this::needOf,
                this::isAllowed, worker.port());
        next.refusedShare = refusedShare;
        workers.set(workers.indexOf(worker), next);
        record.line("worker " + worker.id + " is back");
        return next;
    }

    /** Whether a start of {@code task} on {@code worker} with {@code ticket} is allowed. */
    private boolean isAllowed(String task, String worker, String ticket) {
        if (!advisedJobs.contains(task.substring(0, task.indexOf('.')))) return true;
        return advice.allows(ticket, task.substring(0, task.lastIndexOf('.')), worker);
    }

    private synchronized Worker.Need needOf(String job, int step) {
        return needs.get(job + "." + step);
    }

    private void publishManifest() {
        List<Object> routes = new ArrayList<>();
        int[] attempts = {3, 4, 3, 4};
        double[] stretch = {1.5, 3.0, 3.0, 3.0};
        int[] slo = {250, 1000, 3000, 1000};
        for (int queue = 0; queue < PREFIXES.size(); queue++) {
            Map<String, Object> route =
                Json.of("name", "r-" + queue, "hostname", HOST, "pathPrefix", PREFIXES.get(queue), "type", "unsafe",
                    "timeoutMs", 3000, "sloMs", slo[queue], "priority", queue == ADVISED ? 1 : queue, "backend", SERVICE,
                    "maxAttempts", attempts[queue], "stretch", stretch[queue], "public", false);
            if (queue == ADVISED) {
                route.put("advisor", Json.of("decisionMs", Advice.DECISION_MS, "perWorkerMs", Advice.PER_WORKER_MS,
                    "validMs", Advice.VALID_MS));
            }
            routes.add(route);
        }
        store.put("op", "config",
            Json.of("version", 7, "routes", routes,
                "backends", List.of(Json.of("name", SERVICE, "healthPath", "/health", "maxConns", 64, "protocol", "h1",
                    "tls", false, "enforcesCapacity", true, "standby", false)),
                "limits", Json.of("maxHeaderBytes", 16384, "maxBodyBytes", 262144, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000),
                "tenants", List.of(Json.of("name", "kaje80", "apiKeys", List.of(KEY), "priority", 1,
                    "guaranteed", Json.of("gpus", 80)))));
    }

    /** Starts {@code count} entry processes and waits until all of them are ready. */
    void startEntries(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            int callers = freePort();
            int ready = freePort();
            callerPorts.add(callers);
            readyPorts.add(ready);
            metricsPorts.add(freePort());
            entries.add(start("front-z1-" + i, callers, ready, metricsPorts.get(i)));
        }
        long endNs = System.nanoTime() + 30_000_000_000L;
        for (int port : readyPorts) {
            while (get(port) != 200) {
                if (System.nanoTime() > endNs) throw new IllegalStateException("an entry process isn't ready after 30 s");
                Thread.sleep(100);
            }
        }
        record.line(count + " entry processes are ready");
    }

    /** Kills the entry process that leads, and starts it again after {@code downMs}. Returns its name. */
    String killLeader(long downMs) throws Exception {
        String name = (String) store.value("owner", "lease").getOrDefault("holder", "");
        if (name.isEmpty()) throw new IllegalStateException("no entry process leads");
        int index = Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
        entries.get(index).destroyForcibly().waitFor();
        record.line(name + ", which leads, is killed");
        Thread.sleep(downMs);
        entries.set(index, start(name, callerPorts.get(index), readyPorts.get(index), metricsPorts.get(index)));
        record.line(name + " is started again");
        return name;
    }

    private int get(int port) {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/orioleferry/ready")).build();
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (Exception e) {
            return 0;
        }
    }

    private Process start(String name, int callers, int ready, int metrics) throws Exception {
        Map<String, Object> bounds =
            Json.of("seedLagS", 3, "addrReuseS", 2, "contactMs", 3000, "ackMs", 4000, "catchUpS", 4, "drainMs", 2000, "graceS", 6,
                "lossSlackMs", 200, "configApplyMs", 2000, "rollbackSlackMs", 250, "maxStretchMs", 5000, "strictRevoke", true,
                "revokeMs", 5000, "recoveryS", 12, "maxHoldMs", 10000, "stopTimeoutMs", 200, "gangTimeoutMs", 3000,
                "cancel_ms", 3000, "visible_ms", 3000, "early_ms", 250, "finish_s", 14, "status_s", 120, "remotePenalty", 3);
        Map<String, Object> settings =
            Json.of("node", name, "role", "entry", "machineClass", "front", "serves", List.of("front"), "ip", "127.0.0.1",
                "zone", "z1", "region", "messinia", "zones", Json.of("z1", "messinia"),
                "listen", Json.of("front", "127.0.0.1:" + callers, "ready", "127.0.0.1:" + ready),
                "portRange", List.of(metrics, metrics), "seeds", List.of(), "bootstrap", true,
                "limits", Json.of("cpuShare", 0.75, "cores", 1, "memoryMb", 430, "maxFds", 4100, "linkMbps", 1000.0, "diskMb", 0),
                "heartbeatMs", 1500, "bounds", bounds, "commandMode", "call",
                "advisor", "127.0.0.1:" + advice.port(),
                "platform", Json.of("address", "127.0.0.1:" + store.port(), "form", "table", "writesPerS", 800, "readsPerS", 2000,
                    "txnMs", 5.0, "partitionWritesS", 200, "rowBytes", 65536, "crossShard", false, "historyS", 20),
                "cloud", Json.of("ratePerS", 60.0, "duties", List.of(), "dutyPerS", 60.0));
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, Json.write(settings));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) throw new IllegalStateException("the deploy file has no command 'run'");
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" ")).directory(root.toFile()).redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("ORIOLEFERRY_CONFIG", file.toString());
        return builder.start();
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** A step of a job; {@code fields} are further fields of the protocol. */
    static Map<String, Object> step(int count, int cpu, int memMb, int gpus, int estimateMs, Object... fields) {
        Map<String, Object> step = Json.of("count", count, "cpu", cpu, "memMb", memMb, "gpus", gpus, "estimateMs", estimateMs);
        step.putAll(Json.of(fields));
        step.values().removeIf(value -> value.equals(0));
        return step;
    }

    /** Hands in a job until it is accepted, for 10 s at most. */
    void submit(String id, int priority, String spec, Map<String, Object> step) throws Exception {
        boolean fills = Boolean.TRUE.equals(step.get("fills"));
        synchronized (this) {
            needs.put(id + ".0", new Worker.Need(fills ? 0 : amount(step, "cpu"), amount(step, "memMb"), amount(step, "gpus")));
        }
        if (priority == ADVISED) advisedJobs.add(id);
        String body = Json.write(Json.of("spec", spec, "phases", List.of(step)));
        long endNs = System.nanoTime() + 10_000_000_000L;
        while (System.nanoTime() < endNs) {
            if (call("POST", priority, id, body).startsWith("200")) return;
            Thread.sleep(300);
        }
        throw new IllegalStateException("the job " + id + " isn't accepted after 10 s");
    }

    private static int amount(Map<String, Object> step, String name) {
        return (int) step.getOrDefault(name, 0);
    }

    /** Makes a call at the next entry process and returns its status and body, or why there is none. */
    String call(String method, int priority, String id, String body) {
        int port = callerPorts.get(calls++ % callerPorts.size());
        HttpRequest.BodyPublisher publisher =
            body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body);
        String result;
        try {
            HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + PREFIXES.get(priority) + id))
                    .method(method, publisher).header("Host", HOST).header("Authorization", "Token " + KEY)
                    .header("X-Deadline-Ms", "3000").timeout(Duration.ofSeconds(3)).build();
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            result = response.statusCode() + " " + response.body();
        } catch (Exception e) {
            result = "no answer: " + e;
        }
        record.line(method + " " + PREFIXES.get(priority) + id + (body == null ? "" : " " + body) + " -> " + result);
        return result;
    }

    /** Returns the worker on which a subtask of {@code job} runs, or null. */
    Worker workerOf(String job) {
        for (Worker worker : workers) {
            for (String task : worker.tasks()) if (task.startsWith(job + ".")) return worker;
        }
        return null;
    }

    /** Waits until {@code count} subtasks of {@code job} run, for 20 s at most. */
    void await(String job, int count) throws InterruptedException {
        double endS = record.seconds() + 20;
        while (runningTasks(job) < count) {
            if (record.seconds() > endS) throw new IllegalStateException(job + " has not begun after 20 s");
            Thread.sleep(50);
        }
    }

    int runningTasks(String job) {
        int count = 0;
        for (Worker worker : workers) for (String task : worker.tasks()) if (task.startsWith(job + ".")) count++;
        return count;
    }

    /** Returns how many more subtasks of {@code job} the workers with {@code label} have room for; an empty label is any. */
    int room(String job, String label) {
        Worker.Need need = needOf(job, 0);
        int room = 0;
        for (Worker worker : workers) {
            if (!worker.takesWork() || !(label.isEmpty() || label.equals(worker.rack))) continue;
            Worker.Need used = worker.used();
            int byCpu = need.cpu() == 0 ? Integer.MAX_VALUE : (worker.capacity.cpu() - used.cpu()) / need.cpu();
            int byMemory = (worker.capacity.memMb() - used.memMb()) / need.memMb();
            int byGpus = need.gpus() == 0 ? Integer.MAX_VALUE : (worker.capacity.gpus() - used.gpus()) / need.gpus();
            room += Math.max(0, Math.min(byCpu, Math.min(byMemory, byGpus)));
        }
        return room;
    }

    /** Returns the largest share of the service's capacity that is in use, over cores, memory and accelerators. */
    double use() {
        double[] used = new double[3];
        double[] total = new double[3];
        for (Worker worker : workers) {
            if (!worker.isThere()) continue;
            Worker.Need inUse = worker.used();
            used[0] += inUse.cpu();
            used[1] += inUse.memMb();
            used[2] += inUse.gpus();
            total[0] += worker.capacity.cpu();
            total[1] += worker.capacity.memMb();
            total[2] += worker.capacity.gpus();
        }
        double share = 0;
        for (int i = 0; i < 3; i++) share = Math.max(share, used[i] / total[i]);
        return share;
    }

    /**
     * Watches until {@code untilS}. Returns the longest time in s for which nothing of {@code job} ran while the workers had
     * room for two of its subtasks and less than {@code maxUse} of the service's capacity was in use.
     */
    double longestIdle(String job, String label, double maxUse, double untilS) throws InterruptedException {
        double sinceS = -1;
        double longestS = 0;
        double loggedS = 0;
        while (record.seconds() < untilS) {
            boolean isIdle = runningTasks(job) == 0 && room(job, label) >= 2 && use() < maxUse;
            if (!isIdle) sinceS = -1;
            else if (sinceS < 0) sinceS = record.seconds();
            else longestS = Math.max(longestS, record.seconds() - sinceS);
            if (record.seconds() - loggedS >= 2) {
                loggedS = record.seconds();
                record.line(String.format("watch %s: %d run, room for %d, %.0f%% of the service in use",
                    job, runningTasks(job), room(job, label), use() * 100));
            }
            Thread.sleep(50);
        }
        return longestS;
    }

    @Override
    public void close() {
        entries.forEach(Process::destroyForcibly);
        entries.forEach(process -> {
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        record.line("all processes are ended");
    }
}
