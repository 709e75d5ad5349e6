import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with milliseconds since the start. Thread safe. */
final class Record implements AutoCloseable {
    private final long started = System.nanoTime();
    private final PrintWriter output;

    Record(Path file) throws IOException {
        output = new PrintWriter(Files.newBufferedWriter(file));
    }

    long now() {
        return (System.nanoTime() - started) / 1_000_000;
    }

    void line(String format, Object... arguments) {
        write(String.format(Locale.ROOT, format, arguments), false);
    }

    /** Writes a line that is also shown to whoever runs the script. */
    void show(String format, Object... arguments) {
        write(String.format(Locale.ROOT, format, arguments), true);
    }

    private synchronized void write(String text, boolean isShown) {
        String line = String.format(Locale.ROOT, "%7d %s", now(), text);
        output.println(line);
        if (isShown) {
            System.out.println(line);
        }
    }

    @Override
    public synchronized void close() {
        output.close();
    }
}
