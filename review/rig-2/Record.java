import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the seconds since the start. Thread safe. */
final class Record implements AutoCloseable {
    private final long started = System.nanoTime();
    private final PrintWriter writer;

    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    double seconds() {
        return (System.nanoTime() - started) / 1e9;
    }

    synchronized void write(String text, Object... values) {
        writer.println(String.format(Locale.ROOT, "%8.3f s  ", seconds()) + String.format(Locale.ROOT, text, values));
    }

    @Override
    public void close() {
        writer.close();
    }
}
