import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One HTTP/1.1 call on a channel of its own, with a Host header of the caller's choice. */
final class HttpCall {
    private final int port;
    private final String method;
    private final String path;
    private final String body;
    private final long deadlineMs;

    HttpCall(int port, String method, String path, String body, long deadlineMs) {
        this.port = port;
        this.method = method;
        this.path = path;
        this.body = body == null ? "" : body;
        this.deadlineMs = deadlineMs;
    }

    Case.Reply send() throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
            socket.setSoTimeout((int) deadlineMs);
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            String head =
                method + " " + path + " HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Token " + Case.KEY + "\r\nX-Deadline-Ms: " + deadlineMs
                    + "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " + content.length + "\r\n\r\n";
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.getBytes(StandardCharsets.UTF_8));
            request.write(content);
            socket.getOutputStream().write(request.toByteArray());
            InputStream in = socket.getInputStream();
            String answer = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            if (!answer.startsWith("HTTP/1.1 ")) throw new IOException("no answer");
            int split = answer.indexOf("\r\n\r\n");
            return new Case.Reply(Integer.parseInt(answer.substring(9, 12)), split < 0 ? "" : answer.substring(split + 4));
        }
    }
}
