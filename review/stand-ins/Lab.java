import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A small deployment: the project's program as several processes, with stand-ins for store, workers and callers. */
final class Lab {
    static final String SERVICE = "huvo11a";
    static final String HOST = "nony24.example";

    // A worker of the site omotnica-split.
    static final int CPU = 128_000;
    static final int MEM_MB = 262_144;
    static final int GPUS = 8;

    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    /** A queue of the manifest. */
    record Queue(String name, String prefix, int priority, int maxAttempts) {}

    record Reply(int status, String body) {}

    final Store store;
    final Path folder;
    final Events events = new Events(this);
    final List<Entry> entries = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    volatile Worker.Plan plan = (task, attempt) -> new Worker.Course(1_000, "done");
    private final Map<String, List<Worker.Need>> needs = new ConcurrentHashMap<>();
    private final PrintWriter record;
    private final long beganMs = nowMs();
    private final HttpClient client;
    private long manifestVersion = 1;

    Lab(String recordFile) throws IOException {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "4000");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        folder = Files.createTempDirectory("orioleferry-review");
        store = new Store();
        client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> entries.forEach(Entry::end)));
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    static void every(long periodMs, Runnable action) {
        TIMER.scheduleAtFixedRate(guarded(action), 0, periodMs, TimeUnit.MILLISECONDS);
    }

    static void after(long delayMs, Runnable action) {
        TIMER.schedule(guarded(action), delayMs, TimeUnit.MILLISECONDS);
    }

    private static Runnable guarded(Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (RuntimeException e) {
                e.printStackTrace();
            }
        };
    }

    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    long sinceStartMs() {
        return nowMs() - beganMs;
    }

    void note(String text) {
        synchronized (record) {
            record.println(String.format("%7d ms  %s", sinceStartMs(), text));
        }
    }

    /** Starts the processes and the workers and waits until every process answers callers. */
    void start(int entryCount, int workerCount, List<Queue> queues, Map<String, Integer> guaranteed) throws Exception {
        publish(queues, guaranteed);
        for (int i = 1; i <= workerCount; i++) workers.add(new Worker(this, String.format("i-7f3a91%02x", 0xc0 + i), "r1-" + (i + 1) / 2));
        for (int i = 1; i <= entryCount; i++) {
            Entry entry = new Entry(this, "front-split-a-" + i);
            entries.add(entry);
            entry.start();
        }
        long endMs = nowMs() + 30_000;
        for (Entry entry : entries) {
            while (true) {
                try {
                    if (call(entry, "GET", queues.get(0).prefix(), null).status() == 200) break;
                } catch (IOException e) {
                    // Not listening yet.
                }
                if (nowMs() > endMs || !entry.isAlive()) cannotRun(entry.name + " does not start");
                Thread.sleep(100);
            }
        }
        note(entryCount + " processes and " + workerCount + " workers are up, owner " + owner());
    }

    void cannotRun(String reason) {
        note("CANNOT RUN: " + reason);
        System.out.println("cannot run: " + reason);
        System.exit(2);
    }

    /** Writes a manifest as the operator does; the return is the store's ack. */
    void publish(List<Queue> queues, Map<String, Integer> guaranteed) {
        List<Object> routes = new ArrayList<>();
        for (Queue queue : queues) {
            routes.add(Json.of(
                "name", queue.name, "hostname", HOST, "pathPrefix", queue.prefix, "type", "unsafe", "timeoutMs", 3000,
                "sloMs", 1000, "priority", queue.priority, "backend", SERVICE, "maxAttempts", queue.maxAttempts,
                "stretch", 3.0, "public", false));
        }
        List<Object> tenants = new ArrayList<>();
        guaranteed.forEach((name, gpus) ->
            tenants.add(Json.of("name", name, "apiKeys", List.of("key-" + name), "priority", 1, "guaranteed", Json.of("gpus", gpus))));
        manifestVersion += 3;
        store.put("op", "config", Json.write(Json.of(
            "version", manifestVersion, "routes", routes,
            "backends", List.of(Json.of("name", SERVICE, "healthPath", "/health", "maxConns", 64, "protocol", "h1", "tls", false,
                "enforcesCapacity", true, "standby", false)),
            "limits", Json.of("maxHeaderBytes", 16384, "maxBodyBytes", 262144, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000),
            "tenants", tenants)));
        StringBuilder names = new StringBuilder();
        for (Queue queue : queues) names.append(' ').append(queue.name);
        note("operator: manifest " + manifestVersion + " acknowledged, queues" + names);
    }

    /** Returns the process that holds the lease row, by the name in it; empty if there is none. */
    String owner() {
        String lease = store.get("owner", "", "lease");
        return lease == null ? "" : Json.text(Json.object(lease), "holder");
    }

    Entry ownerEntry() {
        String name = owner();
        for (Entry entry : entries) if (entry.name.equals(name)) return entry;
        return null;
    }

    Entry otherEntry() {
        String name = owner();
        for (Entry entry : entries) if (!entry.name.equals(name)) return entry;
        return null;
    }

    void need(String job, Worker.Need... steps) {
        needs.put(job, List.of(steps));
    }

    Worker.Need needOf(String task) {
        String[] parts = task.split("\\.");
        List<Worker.Need> steps = needs.get(parts[0]);
        return steps == null ? new Worker.Need(0, 0, 0) : steps.get(Integer.parseInt(parts[2]));
    }

    /** A call of a consumer of tenant 'kaje80'. */
    Reply call(Entry entry, String method, String path, Object body) throws IOException, InterruptedException {
        return call(entry, method, path, body, "kaje80");
    }

    Reply call(Entry entry, String method, String path, Object body, String tenant) throws IOException, InterruptedException {
        HttpRequest.BodyPublisher publisher =
            body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(Json.write(body));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.callers + path))
            .method(method, publisher)
            .header("Host", HOST).header("Authorization", "Token key-" + tenant).header("X-Deadline-Ms", "3000")
            .header("Content-Type", "application/json").timeout(Duration.ofMillis(3_000)).build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            note(method + " " + path + " at " + entry.name + " by " + tenant + " -> " + response.statusCode() + " " + response.body());
            return new Reply(response.statusCode(), response.body());
        } catch (IOException e) {
            note(method + " " + path + " at " + entry.name + " by " + tenant + " -> no answer (" + e.getClass().getSimpleName() + ")");
            throw e;
        }
    }

    /** Ends the processes and the run. */
    void finish(boolean isBroken, String verdict) {
        note((isBroken ? "BROKEN: " : "HELD: ") + verdict);
        System.out.println((isBroken ? "broken: " : "held: ") + verdict);
        entries.forEach(Entry::end);
        System.exit(isBroken ? 1 : 0);
    }
}
