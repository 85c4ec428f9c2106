import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP server of a stand-in on a loopback port. A null answer leaves the call without one. */
final class StandInServer {
    record Call(String name, Map<String, String> query, Map<String, Object> body, String expectedInstance) {}

    record Answer(int status, String body) {}

    interface Handler {
        Answer answer(Call call) throws Exception;
    }

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "5000");
        System.setProperty("sun.net.httpserver.idleInterval", "600");
    }

    private final HttpServer server;
    private final ExecutorService threads =
        Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "stand-in");
            thread.setDaemon(true);
            return thread;
        });

    StandInServer(int port, Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1024);
        server.setExecutor(threads);
        server.createContext("/", exchange -> handle(exchange, handler));
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    /** Closes the listener and all connections, as when a process ends. */
    void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private static void handle(HttpExchange exchange, Handler handler) throws IOException {
        String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getQuery();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        String path = exchange.getRequestURI().getPath();
        String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
        Call call = new Call(path.substring(path.lastIndexOf('/') + 1), query, Json.object(text), expected);
        Answer answer;
        try {
            answer = handler.answer(call);
        } catch (InterruptedException e) {
            return;
        } catch (Exception e) {
            e.printStackTrace();
            answer = new Answer(500, "{}");
        }
        if (answer == null) return;
        byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
