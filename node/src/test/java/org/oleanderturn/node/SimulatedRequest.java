package org.oleanderturn.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.InboundRequest;

/** A request as a listener of a simulated node receives it. Used by one task at a time. */
final class SimulatedRequest implements InboundRequest {
    private final String method;
    private final String path;
    private final List<HeaderField> headers;
    private final byte[] body;
    private Runnable onDisconnect = () -> {};
    private Duration readDelay = Duration.ZERO;
    private boolean isDisconnected;

    SimulatedRequest(String method, String path, List<HeaderField> headers, byte[] body) {
        this.method = method;
        this.path = path;
        this.headers = List.copyOf(headers);
        this.body = body;
    }

    /** Acts as if the peer had closed its connection, which nobody has noticed. */
    void close() {
        isDisconnected = true;
    }

    /** Acts as if the peer had closed its connection, and the node had noticed it. */
    void disconnect() {
        isDisconnected = true;
        onDisconnect.run();
    }

    /** Sets the node's estimate of how long the request waited before it is read. */
    void setReadDelay(Duration delay) {
        readDelay = delay;
    }

    @Override
    public String method() {
        return method;
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
        return Optional.of(body);
    }

    @Override
    public Optional<byte[]> readBody(int limitBytes, Duration timeout) {
        return Optional.of(body);
    }

    @Override
    public Duration readDelay() {
        return readDelay;
    }

    @Override
    public boolean hasPeerLeft() {
        return isDisconnected;
    }

    @Override
    public void onPeerDisconnect(Runnable action) {
        onDisconnect = action;
    }
}
