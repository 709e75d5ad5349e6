package org.oleanderturn.node;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.oleanderturn.model.Address;
import org.oleanderturn.wire.Frame;
import org.oleanderturn.wire.WireFailure;

/**
 * The control messages of a host of a {@link ConfigurationFleet}, which take the time of its links and of the cores at both
 * ends. Used by one task at a time.
 */
final class ConfigurationNetwork implements FrameCaller {
    private static final int HEAD_BYTES = 100;

    private final ConfigurationFleet fleet;
    private final ConfigurationHost host;

    ConfigurationNetwork(ConfigurationFleet fleet, ConfigurationHost host) {
        this.fleet = fleet;
        this.host = host;
    }

    @Override
    public Either<WireFailure, Frame> call(Address peer, Frame request, Duration timeout) {
        ConfigurationHost receiver = fleet.hostOf(peer);
        SimulatedTime.Pending<Either<WireFailure, Frame>> answer = fleet.time().pending();
        host.encode(request);
        long end = fleet.time().nanoseconds() + timeout.toNanos();
        BooleanSupplier isAwaited = () -> fleet.time().nanoseconds() <= end;
        send(host, receiver, request, isAwaited, () -> {
            if (receiver.isNodeUp()) {
                receiver.handle(
                        request,
                        frame -> send(receiver, host, frame, isAwaited, () -> answer.complete(Either.right(frame))));
            } else if (!receiver.isDark()) {
                Either<WireFailure, Frame> refused =
                        Either.left(new WireFailure.Unreachable(peer, "connection refused"));
                fleet.time().at(fleet.delay(receiver, host), () -> answer.complete(refused));
            }
        });
        Either<WireFailure, Frame> result =
                answer.await(timeout).orElseGet(() -> Either.left(new WireFailure.TimedOut(peer, timeout)));
        result.peek(host::decode);
        return result;
    }

    private void send(
            ConfigurationHost sender,
            ConfigurationHost receiver,
            Frame frame,
            BooleanSupplier isAwaited,
            Runnable onArrival) {
        fleet.send(sender, receiver, fleet.scaled(HEAD_BYTES) + frame.payload().length, isAwaited, onArrival);
    }
}
