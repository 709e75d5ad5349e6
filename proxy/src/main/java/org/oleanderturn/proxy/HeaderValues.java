package org.oleanderturn.proxy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.MessageHeaders;

/**
 * Reads and filters the headers that nodes exchange.
 *
 * <p>Stateless and thread safe.
 */
public final class HeaderValues {
    private static final long MAXIMUM_MILLISECONDS = 24L * 60 * 60 * 1_000;
    /** At most fifteen digits, so that no sum of two numbers overflows. */
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}");

    private static final Set<String> INTERNAL_HEADERS = Set.of(
            lowerCase(ProxyHeaders.SERVICE),
            lowerCase(ProxyHeaders.KIND),
            lowerCase(ProxyHeaders.ROUTE),
            lowerCase(ProxyHeaders.ATTEMPT),
            lowerCase(ProxyHeaders.FINGERPRINT),
            lowerCase(ProxyHeaders.SUSPECT),
            lowerCase(ProxyHeaders.CLAIM),
            lowerCase(ProxyHeaders.OUTCOME),
            lowerCase(ProxyHeaders.REASON),
            lowerCase(ProxyHeaders.DEADLINE),
            lowerCase(ProxyHeaders.RETRIES_LEFT),
            lowerCase(ProxyHeaders.RANK),
            lowerCase(ProxyHeaders.TARGET_LATENCY),
            lowerCase(ProxyHeaders.ELAPSED),
            lowerCase(ProxyHeaders.CALLER_SERVICE),
            lowerCase(ProxyHeaders.LOAD),
            lowerCase(ProxyHeaders.RETRY_AFTER_MILLISECONDS));

    private HeaderValues() {}

    /** Returns every header of a message, in order. */
    static List<HeaderField> fromMessage(MessageHeaders message) {
        List<HeaderField> headers = new ArrayList<>();
        for (Header header : message.getHeaders()) {
            headers.add(HeaderField.of(header.getName(), header.getValue()));
        }
        return List.copyOf(headers);
    }

    /** Returns the headers that are passed on: neither of one connection nor of one hop between nodes. */
    public static List<HeaderField> forwardable(List<HeaderField> headers) {
        Set<String> ofConnection = namesInConnectionHeader(headers);
        List<HeaderField> kept = new ArrayList<>();
        for (HeaderField header : headers) {
            String name = lowerCase(header.name());
            boolean isOfHop =
                    OutboundMessage.isHopByHop(name) || INTERNAL_HEADERS.contains(name) || ofConnection.contains(name);
            if (!isOfHop) {
                kept.add(header);
            }
        }
        return kept;
    }

    /** Returns the names of the headers that a message declares to concern its connection only. */
    private static Set<String> namesInConnectionHeader(List<HeaderField> headers) {
        Set<String> names = new HashSet<>();
        for (HeaderField header : headers) {
            if (header.isNamed("Connection")) {
                for (String name : header.value().split(",", -1)) {
                    names.add(lowerCase(name.trim()));
                }
            }
        }
        return names;
    }

    /** Returns a header's value as a whole number of zero or more. */
    public static OptionalLong findNumber(List<HeaderField> headers, String name) {
        Optional<String> text = HeaderField.find(headers, name);
        if (text.isEmpty() || !NUMBER.matcher(text.get()).matches()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(text.get()));
    }

    /** Returns a header's value as a span of milliseconds. */
    public static Optional<Duration> findMilliseconds(List<HeaderField> headers, String name) {
        OptionalLong found = findNumber(headers, name);
        return found.isEmpty()
                ? Optional.empty()
                : Optional.of(Duration.ofMillis(Math.min(found.getAsLong(), MAXIMUM_MILLISECONDS)));
    }

    /** Returns when an answer asks its caller to come back. */
    static Duration retryAfter(List<HeaderField> headers) {
        Optional<Duration> exact = findMilliseconds(headers, ProxyHeaders.RETRY_AFTER_MILLISECONDS);
        if (exact.isPresent()) {
            return exact.get();
        }
        OptionalLong seconds = findNumber(headers, ProxyHeaders.RETRY_AFTER);
        return Duration.ofSeconds(Math.min(seconds.orElse(1), MAXIMUM_MILLISECONDS / 1_000));
    }

    private static String lowerCase(String name) {
        return name.toLowerCase(Locale.ROOT);
    }
}
