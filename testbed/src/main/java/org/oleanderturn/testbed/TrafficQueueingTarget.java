package org.oleanderturn.testbed;

import java.io.IOException;
import java.util.Objects;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;

/**
 * A target that sheds no load: requests that exceed its slots wait in order of arrival, even after their callers have
 * disconnected.
 *
 * <p>Thread safe.
 */
final class TrafficQueueingTarget implements RequestHandler {
    private final Semaphore slots;
    private final long serviceMilliseconds;
    private final AtomicLong served = new AtomicLong();

    TrafficQueueingTarget(TargetBehaviour behaviour) {
        Objects.requireNonNull(behaviour, "behaviour is null");
        this.slots = new Semaphore(behaviour.slots(), true);
        this.serviceMilliseconds = behaviour.serviceMilliseconds();
    }

    @Override
    public Response handle(InboundRequest request) throws IOException {
        if (request.path().equals("/health")) {
            return Response.text(200, "text/plain", "\n");
        }
        if (request.path().equals("/admin/counts")) {
            return Response.text(200, "application/json", "{\"served\":" + served.get() + "}");
        }
        slots.acquireUninterruptibly();
        try {
            BenchClock.pause((double) serviceMilliseconds);
        } finally {
            slots.release();
        }
        served.incrementAndGet();
        return Response.text(200, "text/plain", "done\n");
    }
}
