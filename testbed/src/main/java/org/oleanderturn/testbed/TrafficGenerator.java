package org.oleanderturn.testbed;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import org.oleanderturn.model.Address;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.OutboundRequest;
import org.oleanderturn.proxy.ProxyHeaders;
import org.oleanderturn.proxy.SendPolicy;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.proxy.UpstreamFailure;
import org.oleanderturn.proxy.UpstreamResponse;

/**
 * Open-loop load generator: sends GET requests at a fixed rate, whether or not earlier ones were answered.
 *
 * <p>Latency counts from the scheduled send time, so that a slow response cannot hide the wait of later requests.
 *
 * <p>Used by one thread.
 */
final class TrafficGenerator implements AutoCloseable {
    private static final int CONNECTIONS_PER_ADDRESS = 4_000;
    private static final int BODY_LIMIT_BYTES = 4_000_000;
    private static final int OK = 200;
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final UpstreamClient client = UpstreamClient.of(CONNECTIONS_PER_ADDRESS);

    /** The address and path of requests, and how long their caller waits for a response. */
    record Destination(Address address, String path, Duration timeout) {}

    /** A constant request rate and its duration. */
    record Phase(int requestsPerSecond, long milliseconds) {}

    /** Sends one phase and waits until its last request ends. */
    TrafficSamples send(Destination destination, int perSecond, long milliseconds) {
        return send(destination, List.of(new Phase(perSecond, milliseconds)));
    }

    /** Sends phases one after another without a pause and waits until the last request ends. */
    TrafficSamples send(Destination destination, List<Phase> phases) {
        Objects.requireNonNull(destination, "destination is null");
        ConcurrentLinkedQueue<TrafficSample> samples = new ConcurrentLinkedQueue<>();
        try (ExecutorService senders = Executors.newVirtualThreadPerTaskExecutor()) {
            long start = System.nanoTime();
            long due = 0;
            for (Phase phase : phases) {
                long end = due + Duration.ofMillis(phase.milliseconds()).toNanos();
                long interval = NANOSECONDS_PER_SECOND / phase.requestsPerSecond();
                for (; due < end; due += interval) {
                    parkUntil(start + due);
                    long scheduled = due;
                    senders.execute(() -> samples.add(sendOne(destination, start, scheduled)));
                }
            }
        }
        return new TrafficSamples(List.copyOf(samples));
    }

    /** Sends one request now and returns the response body; empty unless the status is 200. */
    Optional<byte[]> fetch(Address address, String path) {
        Destination destination = new Destination(address, path, CONNECT_TIMEOUT);
        Either<UpstreamFailure, UpstreamResponse> received =
                client.send(address, request(destination), Cancellation.create());
        if (received.isLeft()) {
            return Optional.empty();
        }
        try (UpstreamResponse response = received.get()) {
            Optional<byte[]> body = response.readBody(BODY_LIMIT_BYTES);
            return response.status() == OK ? body : Optional.empty();
        } catch (IOException cause) {
            return Optional.empty();
        }
    }

    @Override
    public void close() {
        client.close();
    }

    private static void parkUntil(long nanoTime) {
        long remaining = nanoTime - System.nanoTime();
        while (remaining > 0) {
            LockSupport.parkNanos(remaining);
            remaining = nanoTime - System.nanoTime();
        }
    }

    private TrafficSample sendOne(Destination destination, long start, long due) {
        TrafficSample.Outcome outcome = client.send(destination.address(), request(destination), Cancellation.create())
                .fold(_ -> TrafficSample.Outcome.LOST, TrafficGenerator::readOutcome);
        return new TrafficSample(due, System.nanoTime() - start - due, outcome);
    }

    private static OutboundRequest request(Destination destination) {
        HeaderField deadline =
                HeaderField.of(ProxyHeaders.DEADLINE, destination.timeout().toMillis());
        return new OutboundRequest(
                "GET",
                destination.path(),
                List.of(deadline),
                new byte[0],
                SendPolicy.POOLED,
                CONNECT_TIMEOUT,
                destination.timeout().plusSeconds(1));
    }

    private static TrafficSample.Outcome readOutcome(UpstreamResponse response) {
        try (response) {
            if (response.readBody(BODY_LIMIT_BYTES).isEmpty()) {
                return TrafficSample.Outcome.LOST;
            }
        } catch (IOException cause) {
            return TrafficSample.Outcome.LOST;
        }
        if (response.status() == OK) {
            return TrafficSample.Outcome.ANSWERED;
        }
        boolean isRefused =
                response.header(ProxyHeaders.OUTCOME).equals(Optional.of("not-run")) && hasRetryAfter(response);
        return isRefused ? TrafficSample.Outcome.REFUSED : TrafficSample.Outcome.FAILED;
    }

    private static boolean hasRetryAfter(UpstreamResponse response) {
        return response.header(ProxyHeaders.RETRY_AFTER).isPresent();
    }
}
