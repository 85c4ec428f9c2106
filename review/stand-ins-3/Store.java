import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: rows, transactions and a feed of changes. Answers take 4 ms. */
final class Store {
    private record Key(String table, String part, String key) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int byTable = table.compareTo(other.table);
            if (byTable != 0) return byTable;
            int byPart = part.compareTo(other.part);
            return byPart != 0 ? byPart : key.compareTo(other.key);
        }
    }

    private record Row(Key key, String value, long version, boolean isDeleted) {
        Map<String, Object> toJson() {
            Map<String, Object> json = Json.of("table", key.table, "part", key.part, "key", key.key);
            json.put("value", value);
            json.put("ver", version);
            if (isDeleted) json.put("deleted", true);
            return json;
        }
    }

    private static final int ANSWER_MS = 4;
    private static final int MAX_ROWS = 500;

    /** Three intervals of the workers' pings. */
    private static final int ENTRY_TTL_MS = 4_500;

    private final TreeMap<Key, Row> rows = new TreeMap<>();
    private final List<Row> changes = new ArrayList<>();
    private final Map<String, Long> pingedNs = new HashMap<>();
    private long version = 1;
    private final Http server;

    Store() throws Exception {
        server = new Http(0, this::answer);
        Thread expiry = new Thread(this::expire, "expiry");
        expiry.setDaemon(true);
        expiry.start();
    }

    /** A worker's ping. Its entry is removed after three ping intervals of silence. */
    synchronized void ping(String id, Map<String, Object> entry) {
        pingedNs.put(id, System.nanoTime());
        put("servers", id, entry);
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                pingedNs.entrySet().removeIf(ping -> {
                    boolean isSilent = System.nanoTime() - ping.getValue() > ENTRY_TTL_MS * 1_000_000L;
                    if (isSilent) remove("servers", ping.getKey());
                    return isSilent;
                });
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    int port() {
        return server.port;
    }

    synchronized void put(String table, String key, Object value) {
        apply(new Key(table, "", key), Base64.getEncoder().encodeToString(Json.write(value).getBytes()), false);
    }

    /** Returns the value of a row, or an empty map if there is none. */
    synchronized Map<String, Object> value(String table, String key) {
        Row row = rows.get(new Key(table, "", key));
        return row == null ? Map.of() : Json.object(new String(Base64.getDecoder().decode(row.value)));
    }

    synchronized void remove(String table, String key) {
        apply(new Key(table, "", key), "", true);
    }

    private void apply(Key key, String value, boolean isDeleted) {
        version++;
        change(key, value, isDeleted);
        notifyAll();
    }

    private void change(Key key, String value, boolean isDeleted) {
        Row row = new Row(key, value, version, isDeleted);
        if (isDeleted) {
            if (rows.remove(key) == null) return;
        } else {
            rows.put(key, row);
        }
        changes.add(row);
    }

    private Http.Answer answer(Http.Call call) throws Exception {
        Thread.sleep(ANSWER_MS);
        return switch (call.name()) {
            case "rows-tx" -> commit(call.body());
            case "rows-get" -> read(call.query());
            case "rows-feed" -> feed(call.query());
            default -> new Http.Answer(404, Json.of());
        };
    }

    private synchronized Http.Answer commit(Map<String, Object> body) {
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Map<String, Object> entry : entries(body, "expectedRev")) {
            Row row = rows.get(keyOf(entry));
            if (row != null) current.add(row.toJson());
            if ((row == null ? 0 : row.version) != (long) entry.get("ver")) holds = false;
        }
        if (!holds) return new Http.Answer(412, page("rows", current));
        version++;
        for (Map<String, Object> entry : entries(body, "upserts")) change(keyOf(entry), (String) entry.get("value"), false);
        for (Map<String, Object> entry : entries(body, "remove")) change(keyOf(entry), "", true);
        notifyAll();
        return new Http.Answer(200, page());
    }

    private synchronized Http.Answer read(Map<String, String> query) {
        String table = query.get("table");
        String part = query.getOrDefault("part", "");
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + MAX_ROWS)));
        List<Object> found = new ArrayList<>();
        boolean hasMore = false;
        for (Row row : rows.tailMap(new Key(table, part, query.getOrDefault("from", ""))).values()) {
            if (!row.key.table.equals(table) || !row.key.part.equals(part)) break;
            if (query.containsKey("target") && row.key.key.compareTo(query.get("target")) >= 0) break;
            if (found.size() == limit) {
                hasMore = true;
                break;
            }
            found.add(row.toJson());
        }
        return new Http.Answer(200, page("rows", found, "hasMore", hasMore));
    }

    private synchronized Http.Answer feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long endNs = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            List<Object> found = new ArrayList<>();
            for (int i = changes.size() - 1; i >= 0 && changes.get(i).version > after; i--) {
                if (changes.get(i).key.table.equals(query.get("table"))) found.add(0, changes.get(i).toJson());
            }
            long leftMs = (endNs - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || leftMs <= 0) return new Http.Answer(200, page("rows", found));
            wait(leftMs);
        }
    }

    private Map<String, Object> page(Object... pairs) {
        Map<String, Object> page = Json.of(pairs);
        page.put("ver", version);
        page.put("nowMs", System.nanoTime() / 1_000_000);
        return page;
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> entries(Map<String, Object> body, String name) {
        return (List<Map<String, Object>>) body.getOrDefault(name, List.of());
    }

    private static Key keyOf(Map<String, Object> entry) {
        return new Key((String) entry.get("table"), (String) entry.getOrDefault("part", ""), (String) entry.get("key"));
    }
}
