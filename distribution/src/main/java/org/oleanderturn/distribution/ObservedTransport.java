package org.oleanderturn.distribution;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.function.LongSupplier;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;

/**
 * Tells a listener which transfers of another transport failed or were put off, and which versions peers say they hold.
 *
 * <p>Thread safe.
 */
public final class ObservedTransport implements ConfigurationTransport {
    private final ConfigurationTransport delegate;
    private final VersionListener listener;
    private final LongSupplier milliseconds;

    private ObservedTransport(ConfigurationTransport delegate, VersionListener listener, LongSupplier milliseconds) {
        this.delegate = delegate;
        this.listener = listener;
        this.milliseconds = milliseconds;
    }

    /** Returns a transport that passes each call to the delegate. */
    public static ObservedTransport of(
            ConfigurationTransport delegate, VersionListener listener, LongSupplier milliseconds) {
        Objects.requireNonNull(delegate, "delegate is null");
        Objects.requireNonNull(listener, "listener is null");
        Objects.requireNonNull(milliseconds, "milliseconds is null");
        return new ObservedTransport(delegate, listener, milliseconds);
    }

    @Override
    public Either<PeerFailure, ConfigurationUpdate> fetch(Address peer, ConfigurationVersion held, Digest heldDigest) {
        long start = milliseconds.getAsLong();
        Either<PeerFailure, ConfigurationUpdate> response = delegate.fetch(peer, held, heldDigest);
        response.peekLeft(failure -> recordFailure(VersionEvent.Transfer.FETCH, peer, held, failure, start));
        response.peek(update -> record(peer, held, update));
        return response;
    }

    @Override
    public Either<PeerFailure, PushResponse> push(Address peer, ConfigurationUpdate update) {
        long start = milliseconds.getAsLong();
        Either<PeerFailure, PushResponse> response = delegate.push(peer, update);
        response.peekLeft(
                failure -> recordFailure(VersionEvent.Transfer.PUSH, peer, versionOf(update), failure, start));
        return response;
    }

    private void record(Address peer, ConfigurationVersion held, ConfigurationUpdate update) {
        switch (update) {
            case ConfigurationUpdate.Current current ->
                listener.record(new VersionEvent.Heard(new VersionOrigin.Fetch(peer), current.version()));
            case ConfigurationUpdate.Busy busy ->
                listener.record(new VersionEvent.FetchDeferred(peer, held, busy.retryAfterMilliseconds()));
            case ConfigurationUpdate.Delta _, ConfigurationUpdate.Snapshot _ -> {
                // The holder reports offered content.
            }
        }
    }

    private void recordFailure(
            VersionEvent.Transfer transfer,
            Address peer,
            ConfigurationVersion version,
            PeerFailure failure,
            long startMilliseconds) {
        listener.record(new VersionEvent.TransferFailed(
                transfer, peer, version, failure, milliseconds.getAsLong() - startMilliseconds));
    }

    private static ConfigurationVersion versionOf(ConfigurationUpdate update) {
        return switch (update) {
            case ConfigurationUpdate.Current current -> current.version();
            case ConfigurationUpdate.Delta delta -> delta.delta().to();
            case ConfigurationUpdate.Snapshot snapshot -> snapshot.snapshot().version();
            case ConfigurationUpdate.Busy _ -> ConfigurationVersion.none();
        };
    }
}
