package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against work for clients that have left, which takes slots from those that still wait. */
@Timeout(60)
final class AbandonedConnectionTest {
    /** A departure is found within this time. */
    private static final int LIMIT_MILLISECONDS = 500;

    private static final int SETTLE_MILLISECONDS = 300;

    private final PipelinedHandler handler = new PipelinedHandler();
    private final HttpListener listener = HttpListener.start("127.0.0.1", 0, handler, ListenerLimits.defaults())
            .get();

    @AfterEach
    void closeListener() {
        listener.close();
    }

    /** More than the listener keeps: the departure must be found behind any number of bytes. */
    @Test
    void shouldCancelARequestWhenItsClientLeavesAfterALongInput() throws Exception {
        for (int length : new int[] {2_000, 60_000, 3_000_000}) {
            String path = "/a" + length;
            handler.hold(path);
            RawClient client = new RawClient(listener.address());
            client.send(RawClient.get(path));
            awaitTrue(() -> handler.hasStarted(path), LIMIT_MILLISECONDS);
            client.send("POST /later HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n" + "x".repeat(length));
            client.endOutput();
            assertThat(awaitTrue(() -> handler.isCancelled(path), LIMIT_MILLISECONDS))
                    .isTrue();
            client.close();
        }
        assertThat(handler.hasStarted("/later")).isFalse();
    }

    @Test
    void shouldNotRunARequestThatWasReadAheadWhenItsClientHasLeft() throws Exception {
        handler.hold("/first");
        RawClient client = new RawClient(listener.address());
        client.send(RawClient.get("/first"));
        awaitTrue(() -> handler.hasStarted("/first"), LIMIT_MILLISECONDS);
        client.send("POST /abandoned HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
        client.endOutput();
        assertThat(awaitTrue(() -> handler.isCancelled("/first"), LIMIT_MILLISECONDS))
                .isTrue();
        Thread.sleep(SETTLE_MILLISECONDS);
        assertThat(handler.hasStarted("/abandoned")).isFalse();
        client.close();
    }

    /** Guards against a departure that only one of a connection's requests hears of. */
    @Test
    void shouldCancelAllRequestsOfAConnectionWhenItsClientLeaves() throws Exception {
        handler.hold("/1", "/2", "/3");
        RawClient client = new RawClient(listener.address());
        client.send(RawClient.get("/1") + RawClient.get("/2") + RawClient.get("/3"));
        awaitTrue(() -> handler.hasStarted("/1"), LIMIT_MILLISECONDS);
        Thread.sleep(SETTLE_MILLISECONDS);
        client.close();
        assertThat(awaitTrue(
                        () -> handler.isCancelled("/1") && handler.isCancelled("/2") && handler.isCancelled("/3"),
                        LIMIT_MILLISECONDS))
                .isTrue();
    }

    /** While a write waits for the client nothing is read, so that only the failing write shows the departure. */
    @Test
    void shouldCancelRequestsBehindAResponseThatIsNotReadWhenTheirClientLeaves() throws Exception {
        handler.hold("/2", "/3");
        RawClient client = new RawClient(listener.address());
        client.send(RawClient.get("/big") + RawClient.get("/2") + RawClient.get("/3"));
        awaitTrue(() -> handler.hasStarted("/2") && handler.hasStarted("/3"), LIMIT_MILLISECONDS);
        Thread.sleep(SETTLE_MILLISECONDS);
        assertThat(handler.isCancelled("/2")).isFalse();
        client.close();
        assertThat(awaitTrue(() -> handler.isCancelled("/2") && handler.isCancelled("/3"), LIMIT_MILLISECONDS))
                .isTrue();
    }

    private static boolean awaitTrue(BooleanSupplier condition, int milliseconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            Thread.sleep(1);
        }
        return condition.getAsBoolean();
    }
}
