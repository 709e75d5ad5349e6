package org.oleanderturn.proxy;

import java.io.IOException;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import javax.net.ssl.SSLSession;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.ProtocolVersion;
import org.apache.hc.core5.http.io.HttpServerConnection;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * One request and its response on a connection, as HttpCore's service sees them: the connection of a single exchange.
 *
 * <p>Invariant: nothing of the response is written before the responses to all earlier requests. Not thread safe: used by
 * the thread that serves the request.
 */
final class ServerExchange implements HttpServerConnection {
    static final String ATTRIBUTE = "oleanderturn.server-exchange";

    private final RequestPipeline pipeline;
    private final WatchedConnection connection;
    private Optional<ReceivedRequest> received;
    private OptionalLong number;
    private boolean isClosing;

    private ServerExchange(RequestPipeline pipeline, Optional<ReceivedRequest> received, OptionalLong number) {
        this.pipeline = Objects.requireNonNull(pipeline, "pipeline is null");
        this.connection = pipeline.connection();
        this.received = received;
        this.number = number;
    }

    /** Returns an exchange that reads its request when HttpCore asks for it. */
    static ServerExchange first(RequestPipeline pipeline) {
        return new ServerExchange(pipeline, Optional.empty(), OptionalLong.empty());
    }

    /** Returns an exchange for a request that was read and started. */
    static ServerExchange follower(RequestPipeline pipeline, ReceivedRequest.Head head, long number) {
        return new ServerExchange(pipeline, Optional.of(head), OptionalLong.of(number));
    }

    // -- queries

    ServerConnection serverConnection() {
        return pipeline.serverConnection();
    }

    /** Returns the number of the request; empty until it is known that there is one. */
    OptionalLong number() {
        return number;
    }

    /** Returns how long the request has waited behind others on its connection, at least. */
    Duration waited() {
        if (received.isPresent()
                && received.get() instanceof ReceivedRequest.Head head
                && head.arrivalNanoseconds().isPresent()) {
            long waited = System.nanoTime() - head.arrivalNanoseconds().getAsLong();
            return Duration.ofNanos(Math.max(0, waited));
        }
        return Duration.ZERO;
    }

    /**
     * Returns whether the connection stays open behind the response, as its header told the client: a client that was not told
     * may have sent its next request by now.
     */
    boolean isKeptAlive() {
        return number.isPresent() && !isClosing;
    }

    // -- the request

    /** Begins to run the request; throws if the connection is being closed. */
    void begin() throws IOException {
        if (received.isPresent()) {
            pipeline.begin(this, received.get());
        }
    }

    @Override
    public ClassicHttpRequest receiveRequestHeader() throws HttpException, IOException {
        if (number.isEmpty()) {
            received = pipeline.receiveFirst();
            if (received.isEmpty()) {
                return null;
            }
            number = OptionalLong.of(pipeline.startFirst());
        }
        return switch (received.get()) {
            case ReceivedRequest.Head head -> head.message();
            case ReceivedRequest.Malformed malformed -> throw malformed.cause();
            case ReceivedRequest.Unreadable unreadable -> throw unreadable.cause();
        };
    }

    @Override
    public void receiveRequestEntity(ClassicHttpRequest request) throws HttpException, IOException {
        if (ReceivedRequest.hasBody(request)) {
            connection.receiveRequestEntity(request);
        }
    }

    // -- the response

    @Override
    public void sendResponseHeader(ClassicHttpResponse response) throws HttpException, IOException {
        isClosing = pipeline.prepareResponse(number.orElseThrow(), response);
        connection.sendResponseHeader(response);
    }

    @Override
    public void sendResponseEntity(ClassicHttpResponse response) throws HttpException, IOException {
        connection.sendResponseEntity(response);
    }

    @Override
    public void flush() throws IOException {
        connection.flush();
    }

    /** Closes the connection, unless a request was started behind this one. */
    @Override
    public void close() throws IOException {
        if (number.isEmpty()) {
            connection.close();
        } else {
            pipeline.closeBehind(number.getAsLong());
        }
    }

    @Override
    public void close(CloseMode mode) {
        connection.close(mode);
    }

    // -- the connection

    @Override
    public boolean isDataAvailable(Timeout timeout) throws IOException {
        return connection.isDataAvailable(timeout);
    }

    @Override
    public boolean isStale() throws IOException {
        return connection.isStale();
    }

    @Override
    public EndpointDetails getEndpointDetails() {
        return connection.getEndpointDetails();
    }

    @Override
    public SocketAddress getLocalAddress() {
        return connection.getLocalAddress();
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return connection.getRemoteAddress();
    }

    @Override
    public ProtocolVersion getProtocolVersion() {
        return connection.getProtocolVersion();
    }

    @Override
    public SSLSession getSSLSession() {
        return connection.getSSLSession();
    }

    @Override
    public boolean isOpen() {
        return connection.isOpen();
    }

    @Override
    public Timeout getSocketTimeout() {
        return connection.getSocketTimeout();
    }

    @Override
    public void setSocketTimeout(Timeout timeout) {
        connection.setSocketTimeout(timeout);
    }
}
