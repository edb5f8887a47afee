import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, in {@code record.txt}, each line with the milliseconds since the start. */
final class Record {
    private static final long STARTED_AT = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    static long now() {
        return (System.nanoTime() - STARTED_AT) / 1_000_000;
    }

    synchronized void line(String text) {
        out.printf("%7d %s%n", now(), text);
        out.flush();
    }

    /** Writes [text] here and to standard output. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }
}
