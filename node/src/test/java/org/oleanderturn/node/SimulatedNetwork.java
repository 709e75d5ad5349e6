package org.oleanderturn.node;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.oleanderturn.model.Address;
import org.oleanderturn.platform.FakeTargetMessages;
import org.oleanderturn.proxy.BodyAllowance;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.OutboundRequest;
import org.oleanderturn.proxy.ResponseMatcher;
import org.oleanderturn.proxy.UpstreamExchange;
import org.oleanderturn.proxy.UpstreamFailure;
import org.oleanderturn.wire.Frame;
import org.oleanderturn.wire.WireFailure;

/**
 * The connections of a simulated host's node to its target and to other nodes: delayed, refused by what is down, silent
 * towards what is cut off; some control messages are lost. Used by one task at a time.
 */
final class SimulatedNetwork implements UpstreamExchange, FrameCaller {
    private static final int LOST_FRAMES_PERCENT = 2;
    private static final int PERCENT = 100;
    private static final Duration TARGET_DELAY = Duration.ofNanos(50_000);

    /** A request on its way to a node's guard. */
    record Exchange(SimulatedHost sender, SimulatedTime.Pending<Either<UpstreamFailure, BufferedResponse>> response) {}

    private final SimulatedFleet fleet;
    private final SimulatedHost host;

    SimulatedNetwork(SimulatedFleet fleet, SimulatedHost host) {
        this.fleet = fleet;
        this.host = host;
    }

    // -- requests

    @Override
    public Either<UpstreamFailure, BufferedResponse> exchange(
            Address peer,
            OutboundRequest request,
            ResponseMatcher matcher,
            BodyAllowance allowance,
            Cancellation cancellation) {
        SimulatedHost receiver = fleet.hostOf(peer);
        recordStage(peer, request);
        long started = fleet.time().nanoseconds();
        connect(peer, receiver);
        host.chargeSending();
        OutboundRequest sent = request.after(Duration.ofNanos(fleet.time().nanoseconds() - started));
        cancellation.check();
        if (cancellation.isCancelled()) {
            return Either.left(new UpstreamFailure.NotSent(UpstreamFailure.Cause.CANCELLED, "the caller has left"));
        }
        if (sent.isExpired()) {
            return Either.left(
                    new UpstreamFailure.NotSent(UpstreamFailure.Cause.NO_CONNECTION, "the time limit has passed"));
        }
        return send(peer, receiver, sent, cancellation);
    }

    private void recordStage(Address peer, OutboundRequest request) {
        String attemptId = FakeTargetMessages.attemptId(request.headers());
        if (peer.port() == SimulatedSettings.TARGET_PORT) {
            fleet.stages().reach(attemptId, RequestStage.CONNECT);
        } else {
            fleet.stages().sendToGuard(attemptId);
        }
    }

    /** Blocks while a connection is opened, which some requests need. */
    private void connect(Address peer, SimulatedHost receiver) {
        if (fleet.isConnectionNew()) {
            boolean isTarget = peer.port() == SimulatedSettings.TARGET_PORT;
            fleet.time()
                    .sleep(isTarget ? TARGET_DELAY : fleet.delay(host, receiver).multipliedBy(2));
        }
    }

    private Either<UpstreamFailure, BufferedResponse> send(
            Address peer, SimulatedHost receiver, OutboundRequest request, Cancellation cancellation) {
        SimulatedTime.Pending<Either<UpstreamFailure, BufferedResponse>> response =
                fleet.time().pending();
        SimulatedRequest received =
                new SimulatedRequest(request.method(), request.path(), request.headers(), request.body());
        cancellation.onCancel(() -> {
            response.complete(Either.left(new UpstreamFailure.Cancelled()));
            close(peer, receiver, received, response);
        });
        if (peer.port() == SimulatedSettings.TARGET_PORT) {
            fleet.time().at(TARGET_DELAY, () -> receiver.target().receive(request, response));
        } else {
            deliver(receiver, received, request, new Exchange(host, response));
        }
        Optional<Either<UpstreamFailure, BufferedResponse>> result = response.await(request.responseTimeout());
        cancellation.clear();
        if (result.isEmpty()) {
            close(peer, receiver, received, response);
        }
        return result.orElseGet(() -> Either.left(new UpstreamFailure.TimedOut()));
    }

    private void close(
            Address peer,
            SimulatedHost receiver,
            SimulatedRequest received,
            SimulatedTime.Pending<Either<UpstreamFailure, BufferedResponse>> response) {
        if (peer.port() == SimulatedSettings.TARGET_PORT) {
            receiver.target().abandon(response);
        } else if (!fleet.isSilent(host, receiver)) {
            fleet.time().at(fleet.delay(host, receiver), () -> receiver.disconnect(received));
        }
    }

    private void deliver(
            SimulatedHost receiver, SimulatedRequest received, OutboundRequest request, Exchange exchange) {
        if (fleet.isSilent(host, receiver)) {
            return;
        }
        if (!fleet.isConnected(host, receiver)) {
            fleet.time().at(request.connectTimeout(), () -> fail(exchange, UpstreamFailure.Cause.FAILED, "timed out"));
            return;
        }
        fleet.time().at(fleet.delay(host, receiver), () -> {
            if (receiver.isNodeUp()) {
                receiver.handlePeer(received, exchange);
            } else {
                fail(exchange, UpstreamFailure.Cause.REFUSED, "connection refused");
            }
        });
    }

    private static void fail(Exchange exchange, UpstreamFailure.Cause cause, String reason) {
        exchange.response().complete(Either.left(new UpstreamFailure.NotSent(cause, reason)));
    }

    @Override
    public boolean isListening(Address address, Duration timeout) {
        SimulatedHost receiver = fleet.hostOf(address);
        fleet.time().sleep(fleet.delay(host, receiver));
        if (address.port() == SimulatedSettings.TARGET_PORT) {
            return receiver.target().isUp();
        }
        if (!fleet.isConnected(host, receiver)) {
            fleet.time().sleep(timeout);
            return false;
        }
        return receiver.isNodeUp();
    }

    @Override
    public void closeIdleConnections(Duration idle) {
        // There are no connections to keep.
    }

    @Override
    public void close() {
        // There are no connections to keep.
    }

    // -- control messages

    @Override
    public Either<WireFailure, Frame> call(Address peer, Frame request, Duration timeout) {
        SimulatedHost receiver = fleet.hostOf(peer);
        SimulatedTime.Pending<Frame> answer = fleet.time().pending();
        if (fleet.random().nextInt(PERCENT) >= LOST_FRAMES_PERCENT) {
            fleet.time().at(fleet.delay(host, receiver), () -> deliver(receiver, request, answer));
        }
        return answer.await(timeout)
                .<Either<WireFailure, Frame>>map(Either::right)
                .orElseGet(() -> Either.left(new WireFailure.TimedOut(peer, timeout)));
    }

    private void deliver(SimulatedHost receiver, Frame request, SimulatedTime.Pending<Frame> answer) {
        if (receiver.isNodeUp() && fleet.isConnected(host, receiver)) {
            Frame frame = receiver.answer(request);
            fleet.time().at(fleet.delay(receiver, host), () -> {
                if (fleet.isConnected(host, receiver)) {
                    answer.complete(frame);
                }
            });
        }
    }
}
