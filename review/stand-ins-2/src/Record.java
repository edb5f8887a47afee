import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file that a case writes: what was sent, answered and run, with milliseconds since the start. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter writer;

    private Record() {}

    static void open(Path file) throws Exception {
        writer = new PrintWriter(Files.newBufferedWriter(file), false);
    }

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void line(String text) {
        if (writer != null) writer.println(now() + " " + text);
    }

    static synchronized void close() {
        if (writer != null) writer.close();
        writer = null;
    }
}
