import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What the cases share: the record, the store, the entry instances and the calls of a consumer. */
abstract class Case {
    static final String KEY = "key-of-team";

    // Not those of the virtual machine itself; run.sh translates them.
    private static final int KEPT = 10;
    private static final int BROKEN = 11;
    private static final int NOT_RUN = 12;
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Entry> entries = new ArrayList<>();
    private final long beganNs = System.nanoTime();
    private final File root;
    private final File folder;
    private PrintWriter record;
    Store store;

    /** [arguments]: the root of the repository and the folder of the case. */
    Case(String[] arguments) {
        root = new File(arguments[0]);
        folder = new File(arguments[1]);
    }

    /** Plays the case and returns what broke the rule, or null if it held. Throws if the case cannot be played. */
    abstract String play() throws Exception;

    void runAndExit(int entryCount) {
        int status = NOT_RUN;
        File temporary = null;
        try {
            record = new PrintWriter(new File(folder, "record.txt"), "UTF-8");
            temporary = Files.createTempDirectory("review").toFile();
            store = new Store();
            putManifest(1);
            for (int i = 0; i < entryCount; i++) entries.add(new Entry("front-z1-" + (i + 1), root, temporary, store));
            for (Entry entry : entries) entry.start();
            say("the instances begin; trouble: " + hasTrouble);
            awaitReady();
            String broken = play();
            say(broken == null ? "RULE KEPT" : "RULE BROKEN: " + broken);
            System.out.println(broken == null ? "rule kept" : "rule broken: " + broken);
            status = broken == null ? KEPT : BROKEN;
        } catch (Throwable e) {
            say("the case could not run: " + e);
            e.printStackTrace();
        }
        for (Entry entry : entries) entry.kill();
        if (temporary != null && System.getenv("KEEP_LOGS") == null) delete(temporary);
        if (record != null) record.close();
        Runtime.getRuntime().halt(status);
    }

    private static void delete(File folder) {
        for (File file : folder.listFiles()) file.delete();
        folder.delete();
    }

    /** A worker with an address of its own, or on [port]. */
    Worker addWorker(String id, int port, List<String> labels, Worker.Behaviour behaviour) throws IOException {
        return new Worker(id, port, labels, store, behaviour);
    }

    long nowMs() {
        return (System.nanoTime() - beganNs) / 1_000_000;
    }

    synchronized void say(String text) {
        if (record == null) return;
        record.printf(Locale.ROOT, "%9.3f %s%n", nowMs() / 1000.0, text);
        record.flush();
    }

    /** The operator writes a manifest with three queues, whose priorities are 0, 1 and 2. */
    void putManifest(long version) {
        List<Object> routes = new ArrayList<>();
        routes.add(route("urgent", 0));
        routes.add(route("planned", 1));
        routes.add(route("routine", 2));
        store.put(
            "op", "config",
            Json.write(
                Json.map(
                    "version", version, "routes", routes,
                    "backends", List.of(Json.map("name", "pool", "healthPath", "/health", "maxConns", 64, "protocol", "h1", "tls", false, "enforcesCapacity", true, "standby", false)),
                    "limits", Json.map("maxHeaderBytes", 16_384, "maxBodyBytes", 262_144, "headerTimeoutMs", 3_000, "idleTimeoutMs", 15_000),
                    "tenants", List.of(Json.map("name", "team", "apiKeys", List.of(KEY), "priority", 1, "guaranteed", Json.map("gpus", 8))))));
    }

    private static Map<String, Object> route(String name, int priority) {
        return Json.map(
            "name", name, "hostname", "jobs.example", "pathPrefix", "/" + name + "/", "type", "unsafe", "timeoutMs", 3_000, "sloMs", 1_000,
            "priority", priority, "backend", "pool", "maxAttempts", 4, "stretch", 3.0, "public", false);
    }

    private void awaitReady() throws Exception {
        for (Entry entry : entries) {
            long endMs = nowMs() + 20_000;
            while (true) {
                Reply reply = call(entry, "GET", "/routine/0000000000000000", null, 1_000);
                if (reply.status() == 410) break;
                if (nowMs() > endMs || !entry.isAlive()) throw new IOException(entry.name + " does not serve: " + reply);
                Thread.sleep(100);
            }
        }
        // The first owner has read the rows and claimed the workers by then.
        Thread.sleep(4_000);
    }

    record Reply(int status, String body) {}

    /** A call of a consumer on a channel of its own; status 0 when no answer arrived in time. */
    Reply call(Entry entry, String method, String path, String body, long deadlineMs) {
        try {
            HttpCall call = new HttpCall(entry.front, method, path, body, deadlineMs);
            return call.send();
        } catch (IOException e) {
            return new Reply(0, String.valueOf(e.getMessage()));
        }
    }

    /** Submits a job at one instance after another until it is accepted. */
    void submit(String queue, String id, String phases) throws Exception {
        String body = "{\"spec\":\"" + id + "\",\"phases\":" + phases + "}";
        for (int i = 0; i < 20; i++) {
            Reply reply = call(entries.get(i % entries.size()), "POST", "/" + queue + "/" + id, body, 3_000);
            say("POST " + queue + "/" + id + " at " + entries.get(i % entries.size()).name + " -> " + reply.status());
            if (reply.status() / 100 == 2) return;
            Thread.sleep(200);
        }
        throw new IOException("the job was not accepted");
    }
}
