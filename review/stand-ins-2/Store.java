import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's metadata store: linearizable rows with versions, transactions and a feed of changes. */
final class Store {
    private record Key(String table, String part, String key) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int order = table.compareTo(other.table);
            if (order == 0) order = part.compareTo(other.part);
            return order == 0 ? key.compareTo(other.key) : order;
        }
    }

    private record Row(Key key, String value, long version, boolean isDeleted) {}

    private final TreeMap<Key, Row> rows = new TreeMap<>();
    private final ArrayList<Row> history = new ArrayList<>();
    private long version = 1;
    private long forgottenUpTo = 0;
    private final StandInServer server;

    /** Time that the store takes for an answer, in ms. */
    volatile long answerMs = 4;

    Store() throws IOException {
        server = new StandInServer(0, this::answer);
    }

    int port() {
        return server.port();
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** A write by the operator or by a worker. */
    synchronized void put(String table, String key, String value) {
        write(new Key(table, "", key), Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), ++version);
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        drop(new Key(table, "", key), ++version);
        notifyAll();
    }

    /** Discards the history, so that feeds have to read their tables again. */
    synchronized void forgetHistory() {
        forgottenUpTo = version;
        history.clear();
    }

    private void write(Key key, String value, long atVersion) {
        Row row = new Row(key, value, atVersion, false);
        rows.put(key, row);
        history.add(row);
    }

    private void drop(Key key, long atVersion) {
        if (rows.remove(key) != null) history.add(new Row(key, "", atVersion, true));
    }

    private StandInServer.Answer answer(StandInServer.Call call) throws Exception {
        Thread.sleep(answerMs);
        return switch (call.name()) {
            case "rows-tx" -> transact(call.body());
            case "rows-get" -> get(call.query());
            case "rows-feed" -> feed(call.query());
            default -> new StandInServer.Answer(404, "{}");
        };
    }

    private static Key keyOf(Map<String, Object> row) {
        return new Key(Json.str(row, "table"), Json.str(row, "part"), Json.str(row, "key"));
    }

    private synchronized StandInServer.Answer transact(Map<String, Object> body) {
        List<Row> current = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> condition : Json.objects(body, "expectedRev")) {
            Row row = rows.get(keyOf(condition));
            if (row != null) current.add(row);
            holds &= (row == null ? 0 : row.version()) == Json.num(condition, "ver", 0);
        }
        if (!holds) return new StandInServer.Answer(412, page(current, false));
        version++;
        for (Map<String, Object> row : Json.objects(body, "upserts")) write(keyOf(row), Json.str(row, "value"), version);
        for (Map<String, Object> row : Json.objects(body, "remove")) drop(keyOf(row), version);
        notifyAll();
        return new StandInServer.Answer(200, Json.write(Json.map("ver", version, "nowMs", nowMs())));
    }

    private synchronized StandInServer.Answer get(Map<String, String> query) {
        String part = query.getOrDefault("part", "");
        int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
        List<Row> found = new ArrayList<>();
        for (Row row : rows.tailMap(new Key(query.get("table"), part, query.getOrDefault("from", "")), true).values()) {
            if (!row.key().table().equals(query.get("table")) || !row.key().part().equals(part)) break;
            if (query.containsKey("target") && row.key().key().compareTo(query.get("target")) >= 0) break;
            found.add(row);
            if (found.size() > limit) break;
        }
        boolean hasMore = found.size() > limit;
        return new StandInServer.Answer(200, page(hasMore ? found.subList(0, limit) : found, hasMore));
    }

    private synchronized StandInServer.Answer feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long endMs = nowMs() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (true) {
            if (after < forgottenUpTo) return new StandInServer.Answer(410, "{}");
            List<Row> changes = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).version() > after; i--) {
                if (history.get(i).key().table().equals(query.get("table"))) changes.add(0, history.get(i));
            }
            long leftMs = endMs - nowMs();
            if (!changes.isEmpty() || leftMs <= 0) return new StandInServer.Answer(200, page(changes, false));
            wait(leftMs);
        }
    }

    private String page(List<Row> found, boolean hasMore) {
        List<Object> list = new ArrayList<>();
        for (Row row : found) {
            Map<String, Object> entry =
                Json.map("table", row.key().table(), "part", row.key().part(), "key", row.key().key(), "value", row.value(), "ver", row.version());
            if (row.isDeleted()) entry.put("deleted", true);
            list.add(entry);
        }
        return Json.write(Json.map("rows", list, "hasMore", hasMore, "ver", version, "nowMs", nowMs()));
    }
}
