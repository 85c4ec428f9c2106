import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.util.Arrays;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** An entry instance: the program of the deploy file as a process of its own. */
final class Entry {
    final String name;
    final int front;
    private final int ready;
    private final int metrics;
    final Proxy store;
    private final File root;
    private final File folder;
    private volatile Process process;

    Entry(String name, File root, File folder, Store store) throws IOException {
        this.name = name;
        this.root = root;
        this.folder = folder;
        this.store = new Proxy(store.port());
        front = freePort();
        ready = freePort();
        metrics = freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
    }

    /** Returns a free port below the range that the system gives to outgoing connections and to the stand-ins. */
    private static int freePort() throws IOException {
        for (int i = 0; i < 1_000; i++) {
            int port = ThreadLocalRandom.current().nextInt(10_240, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // Taken; another one is tried.
            }
        }
        throw new IOException("no free port");
    }

    /** Starts the command `run` of the role in the deploy file, from the root of the repository. */
    void start() throws IOException {
        String run = null;
        for (String line : Files.readAllLines(new File(root, "deploy/system.toml").toPath())) {
            if (line.startsWith("run = ")) run = line.substring("run = ".length()).trim().replaceAll("^\"|\"$", "");
        }
        File settings = new File(folder, name + ".json");
        Files.writeString(settings.toPath(), settings());
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.split(" "))).directory(root).redirectErrorStream(true);
        builder.environment().put("ORIOLEFERRY_CONFIG", settings.getAbsolutePath());
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder, name + ".log")));
        process = builder.start();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Time of the last line of the log that tells of an acquired ownership, or -1; used to find the owner only. */
    long ownerSinceMs() throws IOException {
        long latestMs = -1;
        for (String line : Files.readAllLines(new File(folder, name + ".log").toPath())) {
            if (line.contains("\"OWNERSHIP_ACQUIRED\"")) latestMs = Json.num(Json.object(line), "ms", -1);
        }
        return latestMs;
    }

    void kill() {
        Process running = process;
        if (running == null) return;
        running.destroyForcibly();
        try {
            running.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String settings() {
        return """
            {"node":"%s","role":"entry","machineClass":"front","serves":["front"],"ip":"127.0.0.1","zone":"z1","region":"r",
             "zones":{"z1":"r"},"listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},"portRange":[%d,%d],"seeds":[],"bootstrap":true,
             "limits":{"cpuShare":0.75,"cores":1,"memoryMb":430,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},"dataDir":null,
             "discovery":"platform","entry":"vip","heartbeatMs":1500,
             "bounds":{"seedLagS":3,"addrReuseS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":6,"lossSlackMs":200,
              "configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,"strictRevoke":true,"revokeMs":5000,"recoveryS":12,
              "maxHoldMs":6000,"stopTimeoutMs":900,"gangTimeoutMs":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,
              "status_s":120,"remotePenalty":3,"checkpointS":1,"restoreMs":600,"noticeMs":4500,"migrateS":1.5,"maintenanceS":2,
              "requireFence":false,"leaseMs":3000,"thawSlackMs":300,"paceMs":100,"impactMs":4000,"reclaimMs":3400},
             "commandMode":"call","advisor":null,
             "platform":{"address":"127.0.0.1:%d","form":"table","writesPerS":600,"readsPerS":2000,"txnMs":5.0,"partitionWritesS":200,
              "rowBytes":65536,"crossShard":false,"historyS":20,"blobBytes":8388608,"blobMs":25.0,"blobMbS":80.0}}
            """.formatted(name, front, ready, metrics, metrics, store.port());
    }
}
