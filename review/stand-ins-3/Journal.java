import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, each line with the time since the start in seconds. */
final class Journal {
    private final long zeroNs = System.nanoTime();
    private final PrintWriter out;

    Journal(Path file) throws Exception {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - zeroNs) / 1e9;
    }

    synchronized void line(String text) {
        out.printf("%8.3f  %s%n", seconds(), text);
    }
}
