package org.oleanderturn.testbed;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.Method;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.oleanderturn.model.Codec;
import org.oleanderturn.store.LeaseId;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoreProtocol;
import org.oleanderturn.store.StoredValue;

/**
 * Turns HTTP requests into calls on the content of a stand-in of the store.
 *
 * <p>Stateless beside the content, and thread safe.
 */
final class StoreStandInHandler {
    /** An HTTP status and the object to encode as the JSON body; empty for no body. */
    record Answer(int status, Optional<Object> body) {}

    /** A parsed request: the operation that it is counted under, and its effect. */
    record Call(String operation, Effect effect) {}

    /** Applies a request to the store and returns the answer; called after the rate limit was checked. */
    interface Effect {
        Answer apply() throws IOException;
    }

    private final StoreStandInMemory memory;

    StoreStandInHandler(StoreStandInMemory memory) {
        this.memory = memory;
    }

    Call parse(ClassicHttpRequest request) {
        String requestTarget = request.getPath();
        int queryMark = requestTarget.indexOf('?');
        String path = queryMark < 0 ? requestTarget : requestTarget.substring(0, queryMark);
        Map<String, String> parameters =
                queryMark < 0 ? Map.of() : parseParameters(requestTarget.substring(queryMark + 1));
        if (path.equals(StoreProtocol.KEYS_PATH)) {
            String prefix = parameters.getOrDefault(StoreProtocol.PREFIX_PARAMETER, "");
            return new Call("list", () -> answer(memory.list(prefix), StoreStandInHandler::listAnswer));
        }
        if (path.startsWith(StoreProtocol.KEYS_PATH + "/")) {
            String key = StoreProtocol.decode(path.substring(StoreProtocol.KEYS_PATH.length() + 1));
            return parseKey(request, key, parameters);
        }
        if (path.startsWith(StoreProtocol.LEASES_PATH)) {
            return parseLease(request, path.substring(StoreProtocol.LEASES_PATH.length()));
        }
        return unknownCall();
    }

    // -- keys

    private Call parseKey(ClassicHttpRequest request, String key, Map<String, String> parameters) {
        Method method = Method.normalizedValueOf(request.getMethod());
        return switch (method) {
            case GET -> parameters.containsKey(StoreProtocol.SEEN_PARAMETER) ? watch(key, parameters) : read(key);
            case PUT -> new Call("swap", () -> write(request, key, parameters));
            case DELETE ->
                new Call(
                        "remove",
                        () -> answer(
                                memory.remove(key, parseNumber(parameters, StoreProtocol.EXPECTED_PARAMETER)),
                                StoreStandInHandler::revisionAnswer));
            default -> unknownCall();
        };
    }

    private Call read(String key) {
        return new Call(
                "get",
                () -> answer(
                        memory.get(key),
                        found -> found.map(StoreStandInHandler::keyAnswer)
                                .orElse(new Answer(HttpStatus.SC_NOT_FOUND, Optional.empty()))));
    }

    private Call watch(String key, Map<String, String> parameters) {
        long seen = parseNumber(parameters, StoreProtocol.SEEN_PARAMETER);
        Duration wait = Duration.ofMillis(parseNumber(parameters, StoreProtocol.WAIT_PARAMETER));
        return new Call(
                "watch",
                () -> answer(
                        memory.watch(key, seen, wait),
                        found -> found.map(StoreStandInHandler::keyAnswer)
                                .orElse(new Answer(HttpStatus.SC_NO_CONTENT, Optional.empty()))));
    }

    private Answer write(ClassicHttpRequest request, String key, Map<String, String> parameters) throws IOException {
        byte[] value = decode(request, StoreProtocol.WriteBody.class).value();
        long expected = parseNumber(parameters, StoreProtocol.EXPECTED_PARAMETER);
        String lease = parameters.get(StoreProtocol.LEASE_PARAMETER);
        Either<StoreFailure, Long> result = lease == null
                ? memory.compareAndSwap(key, expected, value)
                : memory.compareAndSwapLeased(key, expected, value, LeaseId.of(Long.parseLong(lease)));
        return answer(result, StoreStandInHandler::revisionAnswer);
    }

    // -- leases

    private Call parseLease(ClassicHttpRequest request, String rest) {
        Method method = Method.normalizedValueOf(request.getMethod());
        if (method == Method.POST && rest.isEmpty()) {
            return new Call("grantLease", () -> grant(request));
        }
        if (method == Method.POST && rest.endsWith(StoreProtocol.KEEP_ALIVE_SUFFIX)) {
            String number = rest.substring(1, rest.length() - StoreProtocol.KEEP_ALIVE_SUFFIX.length());
            return new Call(
                    "keepAlive",
                    () -> answer(
                            memory.keepAlive(LeaseId.of(Long.parseLong(number))), StoreStandInHandler::leaseAnswer));
        }
        if (method == Method.DELETE && rest.startsWith("/")) {
            return new Call(
                    "revokeLease",
                    () -> answer(
                            memory.revokeLease(LeaseId.of(Long.parseLong(rest.substring(1)))),
                            StoreStandInHandler::leaseAnswer));
        }
        return unknownCall();
    }

    private Answer grant(ClassicHttpRequest request) throws IOException {
        long milliseconds =
                decode(request, StoreProtocol.LeaseRequestBody.class).timeToLiveMilliseconds();
        return answer(memory.grantLease(Duration.ofMillis(milliseconds)), StoreStandInHandler::leaseAnswer);
    }

    // -- answers

    private static Call unknownCall() {
        return new Call("unknown", () -> new Answer(HttpStatus.SC_BAD_REQUEST, Optional.empty()));
    }

    private static <T> Answer answer(Either<StoreFailure, T> result, Function<T, Answer> success) {
        return result.fold(StoreStandInHandler::failureAnswer, success);
    }

    private static Answer failureAnswer(StoreFailure failure) {
        return switch (failure) {
            case StoreFailure.Conflict(long found) ->
                new Answer(HttpStatus.SC_CONFLICT, Optional.of(new StoreProtocol.RevisionBody(found)));
            case StoreFailure.LeaseEnded _ -> new Answer(HttpStatus.SC_GONE, Optional.empty());
            case StoreFailure.ValueTooLarge _ -> new Answer(HttpStatus.SC_REQUEST_TOO_LONG, Optional.empty());
            case StoreFailure.Throttled _ -> new Answer(HttpStatus.SC_TOO_MANY_REQUESTS, Optional.empty());
            case StoreFailure.Unreachable _, StoreFailure.Undetermined _, StoreFailure.Malformed _ ->
                new Answer(HttpStatus.SC_INTERNAL_SERVER_ERROR, Optional.empty());
        };
    }

    private static Answer ok(Object body) {
        return new Answer(HttpStatus.SC_OK, Optional.of(body));
    }

    private static Answer keyAnswer(StoredValue stored) {
        return ok(keyBody(stored));
    }

    private static Answer listAnswer(List<StoredValue> found) {
        return ok(new StoreProtocol.KeysBody(
                found.stream().map(StoreStandInHandler::keyBody).toList()));
    }

    private static StoreProtocol.KeyBody keyBody(StoredValue stored) {
        return new StoreProtocol.KeyBody(stored.key(), stored.revision(), stored.value());
    }

    private static Answer revisionAnswer(long written) {
        return ok(new StoreProtocol.RevisionBody(written));
    }

    private static Answer leaseAnswer(LeaseId lease) {
        return ok(new StoreProtocol.LeaseBody(lease.number()));
    }

    // -- parsing

    static <T> T decode(ClassicHttpRequest request, Class<T> type) throws IOException {
        HttpEntity entity = request.getEntity();
        byte[] bytes = entity == null ? new byte[0] : EntityUtils.toByteArray(entity);
        return Codec.json()
                .decode(bytes, type)
                .getOrElseThrow(failure -> new IllegalArgumentException(failure.toString()));
    }

    private static long parseNumber(Map<String, String> parameters, String name) {
        String text = parameters.get(name);
        if (text == null) {
            throw new IllegalArgumentException("missing query parameter: " + name);
        }
        return Long.parseLong(text);
    }

    private static Map<String, String> parseParameters(String query) {
        Map<String, String> parameters = new HashMap<>();
        for (String pair : query.split("&", -1)) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                parameters.put(pair.substring(0, equals), StoreProtocol.decode(pair.substring(equals + 1)));
            }
        }
        return parameters;
    }
}
