import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** TCP proxy on the loopback interface. Its open connections can be made silent; new ones work. */
final class Proxy {
    private static final class Link {
        volatile boolean isSilent;
    }

    private final ServerSocket server;
    private final int target;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    Proxy(int target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        Worker.daemon(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    int openConnections() {
        return (int) links.stream().filter(link -> !link.isSilent).count();
    }

    /** Nothing is delivered any more on the connections that are open now; they are neither closed nor reset. */
    void silence() {
        links.forEach(link -> link.isSilent = true);
    }

    private void accept() {
        try {
            while (true) {
                Socket caller = server.accept();
                Socket callee = new Socket(InetAddress.getLoopbackAddress(), target);
                caller.setTcpNoDelay(true);
                callee.setTcpNoDelay(true);
                Link link = new Link();
                links.add(link);
                Worker.daemon(() -> copy(link, caller, callee));
                Worker.daemon(() -> copy(link, callee, caller));
            }
        } catch (IOException e) {
            // The target has ended.
        }
    }

    private void copy(Link link, Socket from, Socket to) {
        try {
            byte[] buffer = new byte[16_384];
            while (true) {
                int count = from.getInputStream().read(buffer);
                if (count < 0) break;
                if (!link.isSilent) to.getOutputStream().write(buffer, 0, count);
            }
        } catch (IOException e) {
            // One side has closed the connection.
        }
        if (link.isSilent) return;
        links.remove(link);
        try {
            from.close();
            to.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
