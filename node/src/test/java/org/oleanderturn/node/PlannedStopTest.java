package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.model.Address;
import org.oleanderturn.platform.FakeOperator;

/** What clients of a node get while it stops, on real sockets. */
@Timeout(120)
final class PlannedStopTest {
    private static final String PATH = "/single/late";
    private static final long CLIENT_TIMEOUT_MILLISECONDS = 8_000;

    /** Longer than a node may take to stop. */
    private static final Duration WORK_TIME = Duration.ofSeconds(20);

    /** Within the time in which a stopping node takes requests, and less than the route's timeout before its end. */
    private static final Duration DELAY = Duration.ofSeconds(2);

    /** Guards against requests that are taken late in a stop, passed on, and cut without an answer at its end. */
    @Test
    void shouldAnswerARequestThatItTakesLateInItsStop() throws Exception {
        try (MeshFleet fleet = MeshFleet.start(2);
                Socket client = connect(fleet.callerAddress(0))) {
            fleet.target(0).setWorkTime(WORK_TIME);
            fleet.target(1).setWorkTime(WORK_TIME);
            byte[] request = request().getBytes(StandardCharsets.US_ASCII);
            OutputStream output = client.getOutputStream();
            // A connection on which a request has begun is not closed as idle.
            output.write(request, 0, 1);
            Thread stop = Thread.ofPlatform().start(() -> fleet.stopNode(0));
            Thread.sleep(DELAY);
            output.write(request, 1, request.length - 1);
            String response = new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            stop.join();
            assertThat(response).startsWith("HTTP/1.1 50");
            // A request that has run is not said not to have run.
            assertThat(response.startsWith("HTTP/1.1 503"))
                    .isEqualTo(fleet.runs(PATH).isEmpty());
        }
    }

    private static Socket connect(Address node) throws IOException {
        return new Socket(node.host(), node.port());
    }

    private static String request() {
        String headers = FakeOperator.clientHeaders("late", CLIENT_TIMEOUT_MILLISECONDS).stream()
                .map(header -> header.name() + ": " + header.value() + "\r\n")
                .collect(Collectors.joining());
        return "POST " + PATH + " HTTP/1.1\r\n" + headers + "Content-Length: 2\r\n\r\nab";
    }
}
