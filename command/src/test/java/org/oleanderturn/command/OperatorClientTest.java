package org.oleanderturn.command;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.http.RawPeer;
import org.oleanderturn.http.ResponseSamples;
import org.oleanderturn.model.Address;

/** What the command line takes for a response: an operator must not be told "accepted" by one that is malformed. */
@Timeout(60)
final class OperatorClientTest {
    private static final int TIMEOUT_MILLISECONDS = 10_000;

    private final OperatorClient client = OperatorClient.of(TIMEOUT_MILLISECONDS);

    @Test
    void shouldLoseTheAnswerWhenItIsMalformed() throws IOException {
        List<String> taken = new ArrayList<>();
        for (String sample : ResponseSamples.malformed()) {
            Either<CommandFailure, byte[]> answer = get(sample, true);
            if (answer.isRight() || !(answer.getLeft() instanceof CommandFailure.AnswerLost)) {
                taken.add(ResponseSamples.visible(sample));
            }
        }
        assertThat(taken).isEmpty();
    }

    @Test
    void shouldTakeTheAnswerWhenHttpAllowsIt() throws IOException {
        for (String sample : ResponseSamples.wellFormed()) {
            assertTaken(sample, get(sample, false), ResponseSamples.BODY);
        }
        for (String sample : ResponseSamples.withoutBody()) {
            assertTaken(sample, get(sample, false), "");
        }
    }

    private static void assertTaken(String sample, Either<CommandFailure, byte[]> answer, String body) {
        assertWithMessage(ResponseSamples.visible(sample))
                .that(answer.map(bytes -> new String(bytes, StandardCharsets.US_ASCII))
                        .getOrElseGet(Object::toString))
                .isEqualTo(body);
    }

    private Either<CommandFailure, byte[]> get(String sample, boolean isClosing) throws IOException {
        try (RawPeer node = RawPeer.start(0, _ -> sample, () -> isClosing)) {
            return client.get(Address.of("127.0.0.1", node.port()), "/proxies");
        }
    }
}
