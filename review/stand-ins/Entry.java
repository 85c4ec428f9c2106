import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** One process of the project's program, started by the command of the deploy file. */
final class Entry {
    final String name;
    final int callers;
    private final int ready;
    private final int base;
    private final Lab lab;
    private Process process;

    Entry(Lab lab, String name) throws IOException {
        this.lab = lab;
        this.name = name;
        callers = freePort();
        ready = freePort();
        base = freePort();
    }

    /** Returns a free port below those that the system gives to outgoing connections, which could take it meanwhile. */
    private static int freePort() throws IOException {
        Random random = new Random();
        for (int i = 0; i < 1_000; i++) {
            int port = 16_000 + random.nextInt(16_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // In use.
            }
        }
        throw new IOException("no free port");
    }

    void start() throws IOException {
        Path settings = lab.folder.resolve(name + ".json");
        Files.writeString(settings, Json.write(settings()));
        ProcessBuilder builder = new ProcessBuilder(command()).directory(new File("."));
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(lab.folder.resolve(name + ".log").toFile()));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("ORIOLEFERRY_CONFIG", settings.toString());
        process = builder.start();
    }

    /** Sends SIGKILL. */
    void kill() throws InterruptedException {
        lab.note("SIGKILL to " + name);
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }

    void end() {
        if (process != null) process.destroyForcibly();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    private static List<String> command() throws IOException {
        boolean isEntry = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) isEntry = line.trim().equals("[roles.entry]");
            if (isEntry && line.startsWith("run")) {
                return new ArrayList<>(List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
            }
        }
        throw new IOException("deploy/system.toml has no run command of the role 'entry'");
    }

    /** The settings of a machine of the site omotnica-split, with loopback addresses. */
    private Map<String, Object> settings() {
        return Json.of(
            "node", name, "role", "entry", "machineClass", "front", "serves", List.of("front"), "ip", "127.0.0.1",
            "zone", "split-a", "region", "dalmacija", "zones", Json.of("split-a", "dalmacija"),
            "listen", Json.of("front", "127.0.0.1:" + callers, "ready", "127.0.0.1:" + ready),
            "portRange", List.of(base, base), "seeds", List.of(), "bootstrap", true, "inLossBudget", false,
            "limits", Json.of("cpuShare", 0.75, "cores", 1, "memoryMb", 430, "maxFds", 4100, "linkMbps", 1000.0, "diskMb", 0),
            "discovery", "platform", "entry", "vip", "heartbeatMs", 1500,
            "contracts", List.of("base", "drain", "config", "cost", "recover", "sched", "tenants", "platform", "advice", "upkeep", "sharing"),
            "bounds", Json.of(
                "contactMs", 3000, "ackMs", 4000, "drainMs", 2000, "graceS", 6, "lossSlackMs", 200, "configApplyMs", 2000,
                "rollbackSlackMs", 250, "maxStretchMs", 5000, "strictRevoke", true, "revokeMs", 5000, "recoveryS", 12,
                "maxHoldMs", 6000, "stopTimeoutMs", 900, "gangTimeoutMs", 3000, "cancel_ms", 3000, "visible_ms", 3000,
                "early_ms", 250, "finish_s", 14, "status_s", 120, "remotePenalty", 3, "checkpointS", 1, "restoreMs", 600,
                "noticeMs", 4500, "leaseMs", 3000, "reclaimMs", 3400),
            "commandMode", "call",
            "platform", Json.of(
                "address", lab.store.address(), "form", "table", "writesPerS", 600, "readsPerS", 2000, "txnMs", 5.0,
                "partitionWritesS", 200, "rowBytes", 65536, "crossShard", false, "historyS", 20));
    }
}
