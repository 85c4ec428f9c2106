import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The service that knows which workers may run a step. It allows every second worker, and handles one call after another. */
final class Advice {
    static final int DECISION_MS = 300;
    static final int PER_WORKER_MS = 20;
    static final int VALID_MS = 5_000;
    private static final int MAX_WAITING = 32;

    private final Map<String, Long> validUntilNs = new ConcurrentHashMap<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final Journal record;
    private final Http server;

    Advice(Journal record) throws Exception {
        this.record = record;
        server = new Http(0, this::answer);
    }

    int port() {
        return server.port;
    }

    /** Whether {@code ticket} is valid for a start of a subtask of {@code step} on {@code worker}. */
    boolean allows(String ticket, String step, String worker) {
        long untilNs = validUntilNs.getOrDefault(ticket, Long.MIN_VALUE);
        return ticket.startsWith(step + "/" + worker + "/") && System.nanoTime() < untilNs;
    }

    @SuppressWarnings("unchecked")
    private Http.Answer answer(Http.Call call) throws Exception {
        if (!call.name().equals("advise")) return new Http.Answer(404, Json.of());
        if (waiting.incrementAndGet() > MAX_WAITING) {
            waiting.decrementAndGet();
            return new Http.Answer(429, Json.of());
        }
        synchronized (this) {
            waiting.decrementAndGet();
            String step = (String) call.body().get("step");
            List<String> workers = (List<String>) (List<?>) call.body().get("workers");
            Thread.sleep(DECISION_MS + (long) PER_WORKER_MS * workers.size());
            List<Object> allowed = new ArrayList<>();
            for (String worker : workers) {
                if ((worker.charAt(worker.length() - 1) & 1) != 0) continue;
                String ticket = step + "/" + worker + "/" + System.nanoTime();
                validUntilNs.put(ticket, System.nanoTime() + VALID_MS * 1_000_000L);
                allowed.add(List.of(worker, ticket));
            }
            record.line("advice on " + step + ": " + allowed.size() + " of " + workers.size() + " workers allowed");
            return new Http.Answer(200, Json.of("allowed", allowed, "validMs", VALID_MS));
        }
    }
}
