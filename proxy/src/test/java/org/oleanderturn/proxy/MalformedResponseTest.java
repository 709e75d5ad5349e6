package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.http.RawPeer;
import org.oleanderturn.http.ResponseSamples;
import org.oleanderturn.model.Address;

/** A peer that writes what HTTP does not allow has not answered; all that HTTP allows is an answer. */
@Timeout(60)
final class MalformedResponseTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int LIMIT_BYTES = 1_000;
    private static final ResponseMatcher ANY = ResponseMatcher.matching(_ -> true);

    private final UpstreamClient client = UpstreamClient.of(2);

    @AfterEach
    void close() {
        client.close();
    }

    @Test
    void shouldLoseTheResponseWhenALineOfItsHeadIsMalformed() throws IOException {
        assertThat(taken(ResponseSamples.malformedLines(), ANY)).isEmpty();
        assertThat(taken(ResponseSamples.malformedLines(), ResponseMatcher.framed()))
                .isEmpty();
    }

    @Test
    void shouldLoseTheResponseWhenTheLengthOfItsBodyIsMalformed() throws IOException {
        assertThat(taken(ResponseSamples.malformedLengths(), ANY)).isEmpty();
        assertThat(taken(ResponseSamples.malformedLengths(), ResponseMatcher.framed()))
                .isEmpty();
    }

    @Test
    void shouldLoseTheResponseWhenALineOfItsChunksIsMalformed() throws IOException {
        assertThat(taken(ResponseSamples.malformedChunks(), ANY)).isEmpty();
        assertThat(taken(ResponseSamples.malformedChunks(), ResponseMatcher.framed()))
                .isEmpty();
    }

    /** A streamed response has been passed on in part; the exception ends the connection to its receiver. */
    @Test
    void shouldFailToWriteTheBodyWhenALineOfItsChunksIsMalformed() throws IOException {
        for (String sample : ResponseSamples.malformedChunks()) {
            try (RawPeer peer = RawPeer.endingConnections(_ -> sample);
                    UpstreamResponse response = client.send(address(peer), request(), Cancellation.create())
                            .get()) {
                assertThrows(
                        IOException.class,
                        () -> response.writeTo(OutputStream.nullOutputStream()),
                        ResponseSamples.visible(sample));
                assertThat(response.hasReadFailed()).isTrue();
            }
        }
    }

    @Test
    void shouldTakeTheResponseWhenHttpAllowsIt() throws IOException {
        assertTaken(ResponseSamples.wellFormed(), ResponseSamples.BODY, false, ANY);
        assertTaken(ResponseSamples.wellFormed(), ResponseSamples.BODY, false, ResponseMatcher.framed());
    }

    @Test
    void shouldTakeTheResponseWhenItEndsWithItsConnection() throws IOException {
        assertTaken(ResponseSamples.delimitedByTheConnection(), ResponseSamples.BODY, true, ANY);
    }

    @Test
    void shouldTakeTheResponseWhenItHasNoBody() throws IOException {
        assertTaken(ResponseSamples.withoutBody(), "", false, ANY);
    }

    /** The length of a response without a body is forwarded, where the response would have that body otherwise. */
    @Test
    void shouldReturnOneLengthWhenItIsRepeated() throws IOException {
        try (RawPeer peer = RawPeer.keepingConnections(_ -> "HTTP/1.1 304\r\nContent-Length: 7, 7\r\n\r\n")) {
            UpstreamResponse response =
                    client.send(address(peer), request(), Cancellation.create()).get();
            assertThat(response.length()).isEqualTo(7);
            response.close();
        }
    }

    // -- helpers

    /** Returns the samples that are taken for a response, or after which the next request gets none. */
    private List<String> taken(List<String> samples, ResponseMatcher matcher) throws IOException {
        List<String> taken = new ArrayList<>();
        for (String sample : samples) {
            Queue<String> answers =
                    new ConcurrentLinkedQueue<>(List.of(sample, ResponseSamples.sized("HTTP/1.1 200 OK")));
            try (RawPeer peer = RawPeer.endingConnections(_ -> answers.remove())) {
                Either<UpstreamFailure, BufferedResponse> response = exchange(peer, matcher);
                if (response.isRight() || !(response.getLeft() instanceof UpstreamFailure.ResponseLost)) {
                    taken.add(ResponseSamples.visible(sample));
                    continue;
                }
                assertWithMessage("after %s", ResponseSamples.visible(sample))
                        .that(body(exchange(peer, matcher)))
                        .isEqualTo(ResponseSamples.BODY);
            }
        }
        return taken;
    }

    private void assertTaken(List<String> samples, String body, boolean isClosing, ResponseMatcher matcher)
            throws IOException {
        for (String sample : samples) {
            try (RawPeer peer = RawPeer.start(0, _ -> sample, () -> isClosing)) {
                Either<UpstreamFailure, BufferedResponse> response = exchange(peer, matcher);
                assertWithMessage(ResponseSamples.visible(sample))
                        .that(response.map(_ -> "").getOrElseGet(Object::toString))
                        .isEmpty();
                assertWithMessage(ResponseSamples.visible(sample))
                        .that(body(response))
                        .isEqualTo(body);
            }
        }
    }

    private Either<UpstreamFailure, BufferedResponse> exchange(RawPeer peer, ResponseMatcher matcher) {
        return client.exchange(address(peer), request(), matcher, LIMIT_BYTES, Cancellation.create());
    }

    private static OutboundRequest request() {
        return new OutboundRequest("GET", "/x", List.of(), new byte[0], SendPolicy.POOLED, TIMEOUT, TIMEOUT);
    }

    private static Address address(RawPeer peer) {
        return Address.of("127.0.0.1", peer.port());
    }

    private static String body(Either<UpstreamFailure, BufferedResponse> response) {
        return new String(response.get().body(), StandardCharsets.US_ASCII);
    }
}
