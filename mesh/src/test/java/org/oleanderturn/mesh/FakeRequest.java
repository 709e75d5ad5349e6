package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.InboundRequest;

/** A GET request without a body, whose client can disconnect. */
final class FakeRequest implements InboundRequest {
    private final String path;
    private final List<HeaderField> headers;
    private volatile Runnable onDisconnect = () -> {};
    private Duration wait = Duration.ZERO;

    FakeRequest(String path, List<HeaderField> headers) {
        this.path = path;
        this.headers = headers;
    }

    static FakeRequest of(String path) {
        return new FakeRequest(path, List.of(HeaderField.of("Id", "a1")));
    }

    /** Returns this request after a wait behind others of its connection. */
    FakeRequest afterWait(Duration waited) {
        wait = waited;
        return this;
    }

    void disconnect() {
        onDisconnect.run();
    }

    @Override
    public String method() {
        return "GET";
    }

    @Override
    public String path() {
        return path;
    }

    @Override
    public List<HeaderField> headers() {
        return headers;
    }

    @Override
    public Optional<byte[]> readBody(int limitBytes) {
        return Optional.of(new byte[0]);
    }

    @Override
    public Optional<byte[]> readBody(int limitBytes, Duration maximumWait) {
        return readBody(limitBytes);
    }

    @Override
    public Duration readDelay() {
        return wait;
    }

    @Override
    public Duration coreDelay() {
        return Duration.ZERO;
    }

    @Override
    public void onPeerDisconnect(Runnable action) {
        onDisconnect = action;
    }
}
