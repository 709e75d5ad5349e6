package org.oleanderturn.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.Method;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.DecodeFailure;

/**
 * A client of a store that speaks {@link StoreProtocol}: HTTP with JSON bodies.
 *
 * <p>Invariant: a failure is {@link StoreFailure.Unreachable} only when no byte of the call was written; a call without
 * a response whose first byte may have been written is {@link StoreFailure.Undetermined}. A write is never sent twice.
 * Thread safe; connections are pooled, those of watches separately.
 */
public final class HttpStore implements Store, AutoCloseable {
    private final StoreSettings settings;
    private final StoreHttpClient calls;
    private final StoreHttpClient watches;

    private HttpStore(StoreSettings settings) {
        this.settings = settings;
        this.calls = StoreHttpClient.of(settings, settings.responseTimeout());
        this.watches = StoreHttpClient.of(settings, settings.maximumWatch().plus(settings.responseTimeout()));
    }

    /** Returns a client of the store; connections are opened on demand. */
    public static HttpStore of(StoreSettings settings) {
        Objects.requireNonNull(settings, "settings is null");
        return new HttpStore(settings);
    }

    // -- queries

    @Override
    public Either<StoreFailure, Optional<StoredValue>> get(String key) {
        Objects.requireNonNull(key, "key is null");
        return read(calls, StoreProtocol.keyPath(key));
    }

    @Override
    public Either<StoreFailure, List<StoredValue>> list(String prefix) {
        Objects.requireNonNull(prefix, "prefix is null");
        String path = StoreProtocol.KEYS_PATH + "?" + parameter(StoreProtocol.PREFIX_PARAMETER, prefix);
        return send(calls, Method.GET, path, Optional.empty())
                .flatMap(response -> decode(response, StoreProtocol.KeysBody.class))
                .map(body -> body.keys().stream().map(HttpStore::toStoredValue).toList());
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> watch(String key, long knownRevision, Duration wait) {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(wait, "wait is null");
        String path = StoreProtocol.keyPath(key) + "?" + parameter(StoreProtocol.SEEN_PARAMETER, knownRevision) + "&"
                + parameter(
                        StoreProtocol.WAIT_PARAMETER, settings.limitWatch(wait).toMillis());
        return read(watches, path);
    }

    // -- commands

    @Override
    public Either<StoreFailure, Long> compareAndSwap(String key, long expectedRevision, byte[] value) {
        return write(key, parameter(StoreProtocol.EXPECTED_PARAMETER, expectedRevision), value);
    }

    @Override
    public Either<StoreFailure, Long> compareAndSwapLeased(
            String key, long expectedRevision, byte[] value, LeaseId lease) {
        Objects.requireNonNull(lease, "lease is null");
        String parameters = parameter(StoreProtocol.EXPECTED_PARAMETER, expectedRevision) + "&"
                + parameter(StoreProtocol.LEASE_PARAMETER, lease.number());
        return write(key, parameters, value).mapLeft(failure -> withLease(failure, lease));
    }

    @Override
    public Either<StoreFailure, Long> remove(String key, long expectedRevision) {
        Objects.requireNonNull(key, "key is null");
        String path = StoreProtocol.keyPath(key) + "?" + parameter(StoreProtocol.EXPECTED_PARAMETER, expectedRevision);
        return send(calls, Method.DELETE, path, Optional.empty()).flatMap(HttpStore::revision);
    }

    @Override
    public Either<StoreFailure, LeaseId> grantLease(Duration timeToLive) {
        Objects.requireNonNull(timeToLive, "timeToLive is null");
        byte[] body = Codec.json().encode(new StoreProtocol.LeaseRequestBody(timeToLive.toMillis()));
        return send(calls, Method.POST, StoreProtocol.LEASES_PATH, Optional.of(body))
                .flatMap(response -> decode(response, StoreProtocol.LeaseBody.class))
                .map(lease -> LeaseId.of(lease.lease()));
    }

    @Override
    public Either<StoreFailure, LeaseId> keepAlive(LeaseId lease) {
        Objects.requireNonNull(lease, "lease is null");
        String path = StoreProtocol.leasePath(lease) + StoreProtocol.KEEP_ALIVE_SUFFIX;
        return send(calls, Method.POST, path, Optional.empty())
                .flatMap(response -> requireOk(response, lease))
                .mapLeft(failure -> withLease(failure, lease));
    }

    @Override
    public Either<StoreFailure, LeaseId> revokeLease(LeaseId lease) {
        Objects.requireNonNull(lease, "lease is null");
        return send(calls, Method.DELETE, StoreProtocol.leasePath(lease), Optional.empty())
                .flatMap(response -> requireOk(response, lease));
    }

    /** Closes every connection; calls in progress fail. */
    @Override
    public void close() {
        calls.close();
        watches.close();
    }

    // -- exchange

    private Either<StoreFailure, Optional<StoredValue>> read(StoreHttpClient client, String path) {
        return send(client, Method.GET, path, Optional.empty()).flatMap(response -> switch (response.status()) {
            case HttpStatus.SC_NOT_FOUND, HttpStatus.SC_NO_CONTENT -> Either.right(Optional.empty());
            default ->
                decode(response, StoreProtocol.KeyBody.class)
                        .map(HttpStore::toStoredValue)
                        .map(Optional::of);
        });
    }

    private Either<StoreFailure, Long> write(String key, String parameters, byte[] value) {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(value, "value is null");
        if (value.length > StoreLimits.MAXIMUM_VALUE_BYTES) {
            return Either.left(new StoreFailure.ValueTooLarge(value.length, StoreLimits.MAXIMUM_VALUE_BYTES));
        }
        byte[] body = Codec.json().encode(new StoreProtocol.WriteBody(value));
        return send(calls, Method.PUT, StoreProtocol.keyPath(key) + "?" + parameters, Optional.of(body))
                .flatMap(response -> response.status() == HttpStatus.SC_REQUEST_TOO_LONG
                        ? Either.left(new StoreFailure.ValueTooLarge(value.length, StoreLimits.MAXIMUM_VALUE_BYTES))
                        : revision(response));
    }

    private static Either<StoreFailure, StoreResponse> send(
            StoreHttpClient client, Method method, String path, Optional<byte[]> body) {
        return client.call(method, path, body).flatMap(HttpStore::accept);
    }

    private static Either<StoreFailure, StoreResponse> accept(StoreResponse response) {
        return switch (response.status()) {
            case HttpStatus.SC_OK, HttpStatus.SC_NO_CONTENT, HttpStatus.SC_NOT_FOUND, HttpStatus.SC_REQUEST_TOO_LONG ->
                Either.right(response);
            case HttpStatus.SC_CONFLICT ->
                decode(response, StoreProtocol.RevisionBody.class)
                        .flatMap(body -> Either.left(new StoreFailure.Conflict(body.revision())));
            case HttpStatus.SC_GONE -> Either.left(new StoreFailure.LeaseEnded(LeaseId.of(0)));
            case HttpStatus.SC_TOO_MANY_REQUESTS -> Either.left(new StoreFailure.Throttled(response.retryAfter()));
            default -> Either.left(new StoreFailure.Undetermined("unexpected status " + response.status()));
        };
    }

    private static Either<StoreFailure, Long> revision(StoreResponse response) {
        return decode(response, StoreProtocol.RevisionBody.class).map(StoreProtocol.RevisionBody::revision);
    }

    private static Either<StoreFailure, LeaseId> requireOk(StoreResponse response, LeaseId lease) {
        return response.status() == HttpStatus.SC_OK
                ? Either.right(lease)
                : Either.left(new StoreFailure.Malformed("unexpected status " + response.status()));
    }

    private static <T> Either<StoreFailure, T> decode(StoreResponse response, Class<T> type) {
        Function<DecodeFailure, StoreFailure> malformed = failure -> new StoreFailure.Malformed(failure.toString());
        return Codec.json().decode(response.body(), type).mapLeft(malformed);
    }

    private static StoredValue toStoredValue(StoreProtocol.KeyBody body) {
        return StoredValue.of(body.key(), body.revision(), body.value());
    }

    private static StoreFailure withLease(StoreFailure failure, LeaseId lease) {
        return failure instanceof StoreFailure.LeaseEnded ? new StoreFailure.LeaseEnded(lease) : failure;
    }

    private static String parameter(String name, Object value) {
        return name + "=" + StoreProtocol.encode(String.valueOf(value));
    }
}
