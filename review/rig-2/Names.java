import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Objects;
import java.util.Properties;

/** The platform's names, which stand in a file of their own. Immutable and thread safe. */
final class Names {
    private static final Properties NAMES = read();

    private Names() {}

    static String of(String name) {
        return Objects.requireNonNull(NAMES.getProperty(name), name);
    }

    private static Properties read() {
        Properties names = new Properties();
        try (InputStream input = Names.class.getResourceAsStream("names.properties")) {
            names.load(Objects.requireNonNull(input, "names.properties"));
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
        return names;
    }
}
