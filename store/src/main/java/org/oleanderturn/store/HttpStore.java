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
 * The platform's store over HTTP with JSON.
 *
 * <p>Invariant: a failure says {@link StoreFailure.Unreachable} only when no byte of the call was written; a call whose
 * first byte may have been written and that was not answered is {@link StoreFailure.Undetermined}. No call is sent
 * twice. Thread safe; connections are pooled, those of watches apart from those of other calls.
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

    /** Returns a client of the store; connections are opened when calls need them. */
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
                .flatMap(answer -> decode(answer, StoreProtocol.KeysBody.class))
                .map(body -> body.keys().stream().map(HttpStore::toStoredValue).toList());
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> watch(String key, long seen, Duration wait) {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(wait, "wait is null");
        String path = StoreProtocol.keyPath(key) + "?" + parameter(StoreProtocol.SEEN_PARAMETER, seen) + "&"
                + parameter(
                        StoreProtocol.WAIT_PARAMETER, settings.limitWatch(wait).toMillis());
        return read(watches, path);
    }

    // -- commands

    @Override
    public Either<StoreFailure, Long> compareAndSwap(String key, long expected, byte[] value) {
        return write(key, parameter(StoreProtocol.EXPECTED_PARAMETER, expected), value);
    }

    @Override
    public Either<StoreFailure, Long> compareAndSwapLeased(String key, long expected, byte[] value, LeaseId lease) {
        Objects.requireNonNull(lease, "lease is null");
        String parameters = parameter(StoreProtocol.EXPECTED_PARAMETER, expected) + "&"
                + parameter(StoreProtocol.LEASE_PARAMETER, lease.number());
        return write(key, parameters, value).mapLeft(failure -> withLease(failure, lease));
    }

    @Override
    public Either<StoreFailure, Long> remove(String key, long expected) {
        Objects.requireNonNull(key, "key is null");
        String path = StoreProtocol.keyPath(key) + "?" + parameter(StoreProtocol.EXPECTED_PARAMETER, expected);
        return send(calls, Method.DELETE, path, Optional.empty()).flatMap(HttpStore::revision);
    }

    @Override
    public Either<StoreFailure, LeaseId> grantLease(Duration timeToLive) {
        Objects.requireNonNull(timeToLive, "timeToLive is null");
        byte[] body = Codec.json().encode(new StoreProtocol.LeaseRequestBody(timeToLive.toMillis()));
        return send(calls, Method.POST, StoreProtocol.LEASES_PATH, Optional.of(body))
                .flatMap(answer -> decode(answer, StoreProtocol.LeaseBody.class))
                .map(lease -> LeaseId.of(lease.lease()));
    }

    @Override
    public Either<StoreFailure, LeaseId> keepAlive(LeaseId lease) {
        Objects.requireNonNull(lease, "lease is null");
        String path = StoreProtocol.leasePath(lease) + StoreProtocol.KEEP_ALIVE_SUFFIX;
        return send(calls, Method.POST, path, Optional.empty())
                .flatMap(answer -> requireOk(answer, lease))
                .mapLeft(failure -> withLease(failure, lease));
    }

    @Override
    public Either<StoreFailure, LeaseId> revokeLease(LeaseId lease) {
        Objects.requireNonNull(lease, "lease is null");
        return send(calls, Method.DELETE, StoreProtocol.leasePath(lease), Optional.empty())
                .flatMap(answer -> requireOk(answer, lease));
    }

    /** Closes every connection; calls under way fail. */
    @Override
    public void close() {
        calls.close();
        watches.close();
    }

    // -- exchange

    private Either<StoreFailure, Optional<StoredValue>> read(StoreHttpClient connections, String path) {
        return send(connections, Method.GET, path, Optional.empty()).flatMap(answer -> switch (answer.status()) {
            case HttpStatus.SC_NOT_FOUND, HttpStatus.SC_NO_CONTENT -> Either.right(Optional.empty());
            default ->
                decode(answer, StoreProtocol.KeyBody.class)
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
                .flatMap(answer -> answer.status() == HttpStatus.SC_REQUEST_TOO_LONG
                        ? Either.left(new StoreFailure.ValueTooLarge(value.length, StoreLimits.MAXIMUM_VALUE_BYTES))
                        : revision(answer));
    }

    private static Either<StoreFailure, StoreResponse> send(
            StoreHttpClient connections, Method method, String path, Optional<byte[]> body) {
        return connections.call(method, path, body).flatMap(HttpStore::accept);
    }

    private static Either<StoreFailure, StoreResponse> accept(StoreResponse answer) {
        return switch (answer.status()) {
            case HttpStatus.SC_OK, HttpStatus.SC_NO_CONTENT, HttpStatus.SC_NOT_FOUND, HttpStatus.SC_REQUEST_TOO_LONG ->
                Either.right(answer);
            case HttpStatus.SC_CONFLICT ->
                decode(answer, StoreProtocol.RevisionBody.class)
                        .flatMap(body -> Either.left(new StoreFailure.Conflict(body.revision())));
            case HttpStatus.SC_GONE -> Either.left(new StoreFailure.LeaseEnded(LeaseId.of(0)));
            case HttpStatus.SC_TOO_MANY_REQUESTS -> Either.left(new StoreFailure.Throttled(answer.retryAfter()));
            default -> Either.left(new StoreFailure.Undetermined("status " + answer.status()));
        };
    }

    private static Either<StoreFailure, Long> revision(StoreResponse answer) {
        return decode(answer, StoreProtocol.RevisionBody.class).map(StoreProtocol.RevisionBody::revision);
    }

    private static Either<StoreFailure, LeaseId> requireOk(StoreResponse answer, LeaseId lease) {
        return answer.status() == HttpStatus.SC_OK
                ? Either.right(lease)
                : Either.left(new StoreFailure.Malformed("status " + answer.status()));
    }

    private static <T> Either<StoreFailure, T> decode(StoreResponse answer, Class<T> type) {
        Function<DecodeFailure, StoreFailure> malformed = failure -> new StoreFailure.Malformed(failure.toString());
        return Codec.json().decode(answer.body(), type).mapLeft(malformed);
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
