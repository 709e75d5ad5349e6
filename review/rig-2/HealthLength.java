import java.io.IOException;
import java.nio.file.Path;

/** From the final fault on, the answers to health checks have no length and end with their connection. */
final class HealthLength {
    private HealthLength() {}

    public static void main(String[] arguments) throws IOException {
        boolean isTrouble = arguments[2].equals("1");
        try (Record record = new Record(Path.of(arguments[1]));
                Deployment deployment = new Deployment(Path.of(arguments[0]), record)) {
            deployment.order("verdict " + new FinalFault(record).run(deployment, "/healthz", !isTrouble));
        }
        System.exit(0);
    }
}
