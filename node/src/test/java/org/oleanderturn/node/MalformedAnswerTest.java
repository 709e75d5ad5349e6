package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.http.ResponseSamples;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.UpstreamFailure;

/**
 * What clients of a node get when a target in trouble writes what HTTP does not allow, and all that HTTP allows: from the
 * node's own target, and from that of another node.
 */
@Timeout(300)
final class MalformedAnswerTest {
    private static final int OTHER = 0;
    private static final int LOCAL = 1;
    private static final List<Integer> NODES = List.of(LOCAL, OTHER);

    private MeshFleet fleet;

    /** Starts two nodes of which only the second has a target. */
    @BeforeEach
    void start() throws IOException {
        fleet = MeshFleet.start(2);
        fleet.target(OTHER).setDownTime(Duration.ofHours(1));
        fleet.target(OTHER).crash();
        answerSoundly();
        NODES.forEach(node ->
                MeshFleet.await(() -> body(fleet.send(node, "/lookup/ready")).equals(ResponseSamples.BODY)));
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    @Test
    void shouldLeaveOpenWhetherTheRequestRanWhenALineOfTheHeadIsMalformed() {
        assertUnknown(ResponseSamples::malformedLines);
    }

    @Test
    void shouldLeaveOpenWhetherTheRequestRanWhenTheLengthIsMalformed() {
        assertUnknown(ResponseSamples::malformedLengths);
    }

    @Test
    void shouldLeaveOpenWhetherTheRequestRanWhenAChunkIsMalformed() {
        assertUnknown(ResponseSamples::malformedChunks);
    }

    @Test
    void shouldDeliverTheAnswerWhenHttpAllowsIt() {
        assertDelivered(ResponseSamples::wellFormed, ResponseSamples.BODY, false);
    }

    @Test
    void shouldDeliverTheAnswerWhenItEndsWithItsConnection() {
        assertDelivered(ResponseSamples::delimitedByTheConnection, ResponseSamples.BODY, true);
    }

    @Test
    void shouldDeliverTheAnswerWhenItHasNoBody() {
        assertDelivered(ResponseSamples::withoutBody, "", false);
    }

    // -- helpers

    /**
     * Asserts that a client gets 502, which promises nothing, for each sample, as its request has run; and the answer of the
     * target to its next request.
     */
    private void assertUnknown(Function<String[], List<String>> samples) {
        List<String> wrong = new ArrayList<>();
        int count = samples.apply(new String[0]).size();
        for (int index = 0; index < count; index++) {
            for (int node : NODES) {
                for (String kind : List.of("single", "lookup")) {
                    String name = index + "-" + node;
                    int sample = index;
                    fleet.target(LOCAL)
                            .setRawAnswer(fields -> samples.apply(fields).get(sample), true);
                    int status = fleet.status(node, "/" + kind + "/malformed-" + name);
                    answerSoundly();
                    String next = body(fleet.send(node, "/" + kind + "/sound-" + name));
                    int runs = fleet.runs("/" + kind + "/malformed-" + name).size();
                    boolean isRunCount = kind.equals("single") ? runs == 1 : runs > 0;
                    if (status != 502 || !next.equals(ResponseSamples.BODY) || !isRunCount) {
                        String answer = samples.apply(new String[0]).get(index);
                        wrong.add("%s at node %d: %d, %d runs, then %s for %s"
                                .formatted(kind, node, status, runs, next, ResponseSamples.visible(answer)));
                    }
                }
            }
        }
        assertThat(wrong).isEmpty();
    }

    private void assertDelivered(Function<String[], List<String>> samples, String body, boolean isClosing) {
        for (int index = 0; index < samples.apply(new String[0]).size(); index++) {
            int sample = index;
            String text = samples.apply(new String[0]).get(index);
            int status = ResponseSamples.finalStatus(text);
            fleet.target(LOCAL).setRawAnswer(fields -> samples.apply(fields).get(sample), isClosing);
            for (int node : NODES) {
                for (String kind : List.of("single", "lookup")) {
                    Either<UpstreamFailure, BufferedResponse> response =
                            fleet.send(node, "/" + kind + "/sound-" + index + "-" + node);
                    assertWithMessage("%s at node %s", ResponseSamples.visible(text), node)
                            .that(response.get().status())
                            .isEqualTo(status);
                    assertWithMessage("%s at node %s", ResponseSamples.visible(text), node)
                            .that(body(response))
                            .isEqualTo(body);
                }
            }
        }
    }

    private void answerSoundly() {
        fleet.target(LOCAL).setRawAnswer(fields -> ResponseSamples.sized("HTTP/1.1 200 OK", fields), false);
    }

    private static String body(Either<UpstreamFailure, BufferedResponse> response) {
        return response.map(received -> new String(received.body(), StandardCharsets.US_ASCII))
                .getOrElseGet(Object::toString);
    }
}
