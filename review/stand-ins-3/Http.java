import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP server of a stand-in on a loopback address. */
final class Http {
    /** A call: the last part of the path, the query, the headers that matter, and the body. */
    record Call(String name, Map<String, String> query, String expectedInstance, Map<String, Object> body) {}

    /** An answer. A null in its place leaves the call without an answer. */
    record Answer(int status, Object body) {}

    interface Handler {
        Answer answer(Call call) throws Exception;
    }

    final int port;
    private final HttpServer server;
    private final Handler handler;

    Http(int port, Handler handler) throws IOException {
        // An answer without delay, as the entry processes do it.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        this.handler = handler;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "stand-in");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
        this.port = server.getAddress().getPort();
    }

    void close() {
        server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String pair : raw.split("&")) {
                    String[] parts = pair.split("=", 2);
                    query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
                }
            }
            String path = exchange.getRequestURI().getPath();
            String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
            Call call = new Call(path.substring(path.lastIndexOf('/') + 1), query, expected, Json.object(text));
            Answer answer = handler.answer(call);
            if (answer == null) return;
            byte[] bytes = Json.write(answer.body).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        } catch (IOException e) {
            exchange.close();
        } catch (Exception e) {
            e.printStackTrace();
            exchange.sendResponseHeaders(500, -1);
            exchange.close();
        }
    }
}
