package org.oleanderturn.testbed;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.http.RawPeer;
import org.oleanderturn.http.ResponseSamples;
import org.oleanderturn.model.Address;

/** The testbed must see an answer that is malformed, and must not report one that HTTP allows. */
@Timeout(60)
final class LoadClientTest {
    @Test
    void shouldReportTheAttemptAsBrokenWhenItsAnswerIsMalformed() throws IOException {
        List<String> taken = new ArrayList<>();
        for (String sample : ResponseSamples.malformed()) {
            if (!(send(sample, true) instanceof LoadAttempt.Broken)) {
                taken.add(ResponseSamples.visible(sample));
            }
        }
        assertThat(taken).isEmpty();
    }

    @Test
    void shouldReportTheAttemptAsCompleteWhenHttpAllowsItsAnswer() throws IOException {
        for (String sample : ResponseSamples.wellFormed()) {
            assertComplete(sample, ResponseSamples.BODY.length());
        }
        for (String sample : ResponseSamples.withoutBody()) {
            assertComplete(sample, 0);
        }
    }

    @Test
    void shouldFailWhenTheCountsOfATargetAreMalformed() throws IOException {
        List<String> taken = new ArrayList<>();
        for (String sample : ResponseSamples.malformed()) {
            try (RawPeer target = RawPeer.endingConnections(_ -> sample)) {
                LoadCheckCommand.fetch("127.0.0.1:" + target.port());
                taken.add(ResponseSamples.visible(sample));
            } catch (IOException expected) {
                // The answer was not taken.
            }
        }
        assertThat(taken).isEmpty();
    }

    @Test
    void shouldReadTheCountsOfATargetWhenHttpAllowsItsAnswer() throws IOException {
        for (String sample : ResponseSamples.wellFormed()) {
            try (RawPeer target = RawPeer.keepingConnections(_ -> sample)) {
                byte[] counts = LoadCheckCommand.fetch("127.0.0.1:" + target.port());
                assertWithMessage(ResponseSamples.visible(sample))
                        .that(new String(counts, StandardCharsets.US_ASCII))
                        .isEqualTo(ResponseSamples.BODY);
            }
        }
    }

    private static void assertComplete(String sample, int length) throws IOException {
        assertWithMessage(ResponseSamples.visible(sample))
                .that(send(sample, false))
                .isEqualTo(new LoadAttempt.Complete(
                        ResponseSamples.finalStatus(sample),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        length));
    }

    private static LoadAttempt send(String sample, boolean isClosing) throws IOException {
        try (RawPeer entry = RawPeer.start(0, _ -> sample, () -> isClosing)) {
            return LoadClient.send(Address.of("127.0.0.1", entry.port()), "/x", Optional.empty());
        }
    }
}
