import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;

/**
 * Asks the shell that runs a case to start processes and to send signals to them: a line of standard output that begins with
 * an at sign is such a request, and the shell answers a start with the process id. Thread safe.
 */
final class Supervisor {
    private static final BufferedReader ANSWERS = new BufferedReader(new InputStreamReader(System.in));

    private Supervisor() {}

    /** Starts a node with a settings file; returns its process. */
    static synchronized ProcessHandle start(String name, String settings) {
        System.out.println("@start " + name + " " + settings);
        try {
            return ProcessHandle.of(Long.parseLong(ANSWERS.readLine().strip()))
                    .orElseThrow(() -> new IllegalStateException("node " + name + " ended at once"));
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }

    static synchronized void signal(String name, String signal) {
        System.out.println("@signal " + name + " " + signal);
    }
}
