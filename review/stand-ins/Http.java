import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/** An HTTP server of a stand-in on a free loopback port. A null answer leaves the call without one. */
final class Http {
    record Answer(int status, String body) {}

    interface Handler {
        Answer answer(String call, HttpExchange exchange, String body) throws Exception;
    }

    final int port;

    Http(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> {
            try {
                String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                String path = exchange.getRequestURI().getPath();
                Answer answer = handler.answer(path.substring(path.lastIndexOf('/') + 1), exchange, body);
                if (answer == null) return;
                byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
                exchange.getResponseHeaders().add("Content-Type", "application/json");
                exchange.sendResponseHeaders(answer.status(), bytes.length);
                exchange.getResponseBody().write(bytes);
                exchange.close();
            } catch (IOException e) {
                exchange.close();
            } catch (Exception e) {
                e.printStackTrace();
                exchange.close();
            }
        });
        server.start();
        port = server.getAddress().getPort();
    }
}
