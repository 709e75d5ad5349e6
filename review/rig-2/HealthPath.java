import java.io.IOException;
import java.nio.file.Path;

/** The version before the final fault names another path for the health checks of a service. */
final class HealthPath {
    private HealthPath() {}

    public static void main(String[] arguments) throws IOException {
        boolean isTrouble = arguments[2].equals("1");
        try (Record record = new Record(Path.of(arguments[1]));
                Deployment deployment = new Deployment(Path.of(arguments[0]), record)) {
            deployment.order("verdict " + new FinalFault(record).run(deployment, isTrouble ? "/status/health" : "/healthz", true));
        }
        System.exit(0);
    }
}
