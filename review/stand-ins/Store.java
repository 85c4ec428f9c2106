import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The platform's store as PROTOCOL.md tells it: rows, conditional transactions, and a feed. */
final class Store {
    /** Returns the delay in ms after which a transaction is performed without an answer, or -1 for an answered one. */
    interface Loss {
        long lateMs(List<Map<String, Object>> upserts);
    }

    private record Key(String table, String part, String key) {}

    private record Row(Key key, String value, long ver) {}

    private record Change(Row row, boolean deleted) {}

    private static final long ANSWER_MS = 4;
    private static final int MAX_ROWS = 500;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final ScheduledExecutorService later =
        Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
    private final Http http;
    private long version = 1;
    volatile Loss loss = upserts -> -1;

    Store() throws IOException {
        http = new Http(this::answer);
    }

    String address() {
        return "127.0.0.1:" + http.port;
    }

    /** Writes a row as the operator and the workers do. */
    synchronized void put(String table, String key, String value) {
        version++;
        write(new Row(new Key(table, "", key), Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), version));
        notifyAll();
    }

    synchronized void delete(String table, String key) {
        if (!rows.containsKey(id(new Key(table, "", key)))) return;
        version++;
        remove(new Key(table, "", key));
        notifyAll();
    }

    /** Returns the text of a row, or null. */
    synchronized String get(String table, String part, String key) {
        Row row = rows.get(id(new Key(table, part, key)));
        return row == null ? null : new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
    }

    private static String id(Key key) {
        return key.table + "\u0000" + key.part + "\u0000" + key.key;
    }

    private void write(Row row) {
        rows.put(id(row.key), row);
        changes.add(new Change(row, false));
    }

    private void remove(Key key) {
        rows.remove(id(key));
        changes.add(new Change(new Row(key, "", version), true));
    }

    private Http.Answer answer(String call, HttpExchange exchange, String body) throws Exception {
        Thread.sleep(ANSWER_MS);
        return switch (call) {
            case "rows-tx" -> transact(Json.object(body));
            case "rows-get" -> get(query(exchange));
            case "rows-feed" -> feed(query(exchange));
            default -> new Http.Answer(404, "{}");
        };
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    private Http.Answer transact(Map<String, Object> body) {
        long lateMs = loss.lateMs(Json.rows(body, "upserts"));
        if (lateMs >= 0) {
            later.schedule(() -> apply(body), lateMs, TimeUnit.MILLISECONDS);
            return null;
        }
        return apply(body);
    }

    private synchronized Http.Answer apply(Map<String, Object> body) {
        List<Row> current = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> condition : Json.rows(body, "expectedRev")) {
            Row row = rows.get(id(key(condition)));
            if (row != null) current.add(row);
            holds &= (row == null ? 0 : row.ver) == Json.number(condition, "ver", 0);
        }
        if (!holds) return new Http.Answer(412, page(current, false));
        version++;
        for (Map<String, Object> row : Json.rows(body, "upserts")) write(new Row(key(row), Json.text(row, "value"), version));
        for (Map<String, Object> row : Json.rows(body, "remove")) remove(key(row));
        notifyAll();
        return new Http.Answer(200, Json.write(Json.of("ver", version, "nowMs", nowMs())));
    }

    private static Key key(Map<String, Object> row) {
        return new Key(Json.text(row, "table"), Json.text(row, "part"), Json.text(row, "key"));
    }

    private synchronized Http.Answer get(Map<String, String> query) {
        String table = query.get("table");
        String part = query.getOrDefault("part", "");
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + MAX_ROWS)));
        String first = id(new Key(table, part, query.getOrDefault("from", "")));
        String target = query.get("target");
        List<Row> found = new ArrayList<>();
        for (Row row : rows.tailMap(first).values()) {
            if (!row.key.table.equals(table) || !row.key.part.equals(part)) break;
            if (target != null && row.key.key.compareTo(target) >= 0) break;
            if (found.size() == limit) return new Http.Answer(200, page(found, true));
            found.add(row);
        }
        return new Http.Answer(200, page(found, false));
    }

    private synchronized Http.Answer feed(Map<String, String> query) throws InterruptedException {
        String table = query.get("table");
        long after = Long.parseLong(query.get("after"));
        long endMs = nowMs() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (true) {
            Map<Key, Change> latest = new LinkedHashMap<>();
            for (int i = changes.size() - 1; i >= 0 && changes.get(i).row.ver > after; i--) {
                Change change = changes.get(i);
                if (change.row.key.table.equals(table)) latest.putIfAbsent(change.row.key, change);
            }
            long leftMs = endMs - nowMs();
            if (latest.isEmpty() && leftMs > 0) {
                wait(leftMs);
                continue;
            }
            List<Change> ordered = new ArrayList<>(latest.values());
            ordered.sort((a, b) -> Long.compare(a.row.ver, b.row.ver));
            List<Object> list = new ArrayList<>();
            for (Change change : ordered) list.add(rowOf(change.row, change.deleted));
            return new Http.Answer(200, Json.write(Json.of("rows", list, "ver", version, "nowMs", nowMs())));
        }
    }

    private String page(List<Row> found, boolean hasMore) {
        List<Object> list = new ArrayList<>();
        for (Row row : found) list.add(rowOf(row, false));
        return Json.write(Json.of("rows", list, "hasMore", hasMore, "ver", version, "nowMs", nowMs()));
    }

    private static Map<String, Object> rowOf(Row row, boolean deleted) {
        Map<String, Object> out =
            Json.of("table", row.key.table, "part", row.key.part, "key", row.key.key, "value", row.value, "ver", row.ver);
        if (deleted) out.put("deleted", true);
        return out;
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
