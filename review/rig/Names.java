import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** The names of the platform's pages, read from a file. Immutable and thread safe. */
final class Names {
    private static final Properties NAMES = read();

    private Names() {}

    private static Properties read() {
        Properties names = new Properties();
        try (Reader reader = Files.newBufferedReader(Path.of("review/rig/names.properties"))) {
            names.load(reader);
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
        return names;
    }

    static String of(String key) {
        String name = NAMES.getProperty(key);
        if (name == null) {
            throw new IllegalArgumentException("no name for " + key);
        }
        return name;
    }
}
