import java.nio.file.Path;
import java.util.List;

/** Runs a case against a small deployment; the shell that started it ends the nodes. */
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

    static void run(String[] arguments, List<Deployment.Place> places, Body body) {
        int code = NOT_RUN;
        // An exception would end the process with the code of a broken rule.
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(Path.of(arguments[1]), record, places)) {
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
        } catch (Exception failed) {
            failed.printStackTrace();
            code = NOT_RUN;
        }
        System.exit(code);
    }

    private Case() {}
}
