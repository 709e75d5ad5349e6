import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs a case against a small deployment, and ends every process and folder that it made. */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final long LONGEST_MILLISECONDS = 110_000;
    private static final int READY_MILLISECONDS = 50_000;

    /** What a case does once all nodes are ready; returns one of the exit codes. */
    interface Body {
        int run(Deployment deployment, Record record) throws Exception;
    }

    /** Returns whether the disruption is part of this run. */
    static boolean isTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static void run(String[] arguments, List<Deployment.Place> places, Body body) throws Exception {
        int code = NOT_RUN;
        Path folder = Files.createTempDirectory("review-");
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(folder, record, places)) {
            Runtime.getRuntime().addShutdownHook(new Thread(deployment::endProcesses));
            Thread.ofVirtual().start(() -> {
                Upstream.pause(LONGEST_MILLISECONDS);
                System.exit(NOT_RUN);
            });
            if (deployment.awaitReady(READY_MILLISECONDS)) {
                code = body.run(deployment, record);
                record.show("served %d, not served %d", deployment.served.sum(), deployment.failed.sum());
                code = code == HELD && deployment.served.sum() == 0 ? NOT_RUN : code;
            } else {
                record.show("the nodes did not get ready");
            }
            record.show(code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "the case could not run");
        } finally {
            remove(folder);
        }
        System.exit(code);
    }

    private static void remove(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    private Case() {}
}
