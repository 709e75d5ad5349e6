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
    private final boolean isFromOwnHost;
    private volatile Runnable onDisconnect = () -> {};

    private FakeRequest(String path, List<HeaderField> headers, boolean isFromOwnHost) {
        this.path = path;
        this.headers = headers;
        this.isFromOwnHost = isFromOwnHost;
    }

    FakeRequest(String path, List<HeaderField> headers) {
        this(path, headers, false);
    }

    /** Returns a request as the local target sends it. */
    static FakeRequest call(String path) {
        return new FakeRequest(path, List.of(HeaderField.of("Id", "a1")), true);
    }

    static FakeRequest of(String path) {
        return new FakeRequest(path, List.of(HeaderField.of("Id", "a1")));
    }

    void disconnect() {
        onDisconnect.run();
    }

    @Override
    public boolean isFromOwnHost() {
        return isFromOwnHost;
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
    public void onPeerDisconnect(Runnable action) {
        onDisconnect = action;
    }
}
