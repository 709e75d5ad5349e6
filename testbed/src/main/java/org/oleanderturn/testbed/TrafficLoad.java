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
 * Sends lookups on a schedule, whether or not earlier ones were answered, and times each from the moment it was due.
 *
 * <p>Used by one thread.
 */
final class TrafficLoad implements AutoCloseable {
    private static final int CONNECTIONS = 4_000;
    private static final int BODY_LIMIT_BYTES = 4_000_000;
    private static final int OK = 200;
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final UpstreamClient client = UpstreamClient.of(CONNECTIONS);

    /** Where requests go and how long their callers wait. */
    record Aim(Address to, String path, Duration patience) {}

    /** A rate that is kept for a span. */
    record Stretch(int perSecond, long milliseconds) {}

    /** Sends one stretch and waits for its last answer. */
    TrafficSamples send(Aim aim, int perSecond, long milliseconds) {
        return send(aim, List.of(new Stretch(perSecond, milliseconds)));
    }

    /** Sends stretches one after another without a pause and waits for the last answer. */
    TrafficSamples send(Aim aim, List<Stretch> stretches) {
        Objects.requireNonNull(aim, "aim is null");
        ConcurrentLinkedQueue<TrafficSample> samples = new ConcurrentLinkedQueue<>();
        try (ExecutorService senders = Executors.newVirtualThreadPerTaskExecutor()) {
            long start = System.nanoTime();
            long due = 0;
            for (Stretch stretch : stretches) {
                long end = due + Duration.ofMillis(stretch.milliseconds()).toNanos();
                long pause = NANOSECONDS_PER_SECOND / stretch.perSecond();
                for (; due < end; due += pause) {
                    awaitUntil(start + due);
                    long moment = due;
                    senders.execute(() -> samples.add(sendOne(aim, start, moment)));
                }
            }
        }
        return new TrafficSamples(List.copyOf(samples));
    }

    /** Sends one request now and returns its body when it was answered with 200. */
    Optional<byte[]> fetch(Address to, String path) {
        Aim aim = new Aim(to, path, CONNECT_TIMEOUT);
        Either<UpstreamFailure, UpstreamResponse> answer = client.send(to, request(aim), Cancellation.create());
        if (answer.isLeft()) {
            return Optional.empty();
        }
        try (UpstreamResponse open = answer.get()) {
            Optional<byte[]> body = open.readBody(BODY_LIMIT_BYTES);
            return open.status() == OK ? body : Optional.empty();
        } catch (IOException cause) {
            return Optional.empty();
        }
    }

    @Override
    public void close() {
        client.close();
    }

    private static void awaitUntil(long moment) {
        long left = moment - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = moment - System.nanoTime();
        }
    }

    private TrafficSample sendOne(Aim aim, long start, long due) {
        TrafficSample.Kind kind = client.send(aim.to(), request(aim), Cancellation.create())
                .fold(_ -> TrafficSample.Kind.LOST, TrafficLoad::read);
        return new TrafficSample(due, System.nanoTime() - start - due, kind);
    }

    private static OutboundRequest request(Aim aim) {
        HeaderField deadline =
                HeaderField.of(ProxyHeaders.DEADLINE, aim.patience().toMillis());
        return new OutboundRequest(
                "GET",
                aim.path(),
                List.of(deadline),
                new byte[0],
                SendPolicy.POOLED,
                CONNECT_TIMEOUT,
                aim.patience().plusSeconds(1));
    }

    private static TrafficSample.Kind read(UpstreamResponse answer) {
        try (answer) {
            if (answer.readBody(BODY_LIMIT_BYTES).isEmpty()) {
                return TrafficSample.Kind.LOST;
            }
        } catch (IOException cause) {
            return TrafficSample.Kind.LOST;
        }
        if (answer.status() == OK) {
            return TrafficSample.Kind.ANSWERED;
        }
        boolean isRefused = answer.header(ProxyHeaders.OUTCOME).equals(Optional.of("not-run")) && isTimeGiven(answer);
        return isRefused ? TrafficSample.Kind.REFUSED : TrafficSample.Kind.FAILED;
    }

    private static boolean isTimeGiven(UpstreamResponse answer) {
        return answer.header(ProxyHeaders.RETRY_AFTER).isPresent();
    }
}
