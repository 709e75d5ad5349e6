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
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.MessageHeaders;

/**
 * Parses header values, and selects the headers that are forwarded.
 *
 * <p>Stateless and thread safe.
 */
public final class HeaderValues {
    private static final long MAXIMUM_MILLISECONDS = 24L * 60 * 60 * 1_000;
    /** At most 15 digits, so that the sum of two values cannot overflow a long. */
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}");

    /** Headers that are set for one hop only and never forwarded to the next. */
    private static final Set<String> INTERNAL_HEADERS = Set.of(
            lowerCase(ProxyHeaders.SERVICE),
            lowerCase(ProxyHeaders.KIND),
            lowerCase(ProxyHeaders.ROUTE),
            lowerCase(ProxyHeaders.ATTEMPT),
            lowerCase(ProxyHeaders.FINGERPRINT),
            lowerCase(ProxyHeaders.SUSPECT),
            lowerCase(ProxyHeaders.SUSPICION),
            lowerCase(ProxyHeaders.REPEAT),
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
            lowerCase(ProxyHeaders.ORGANISATION),
            lowerCase(ProxyHeaders.CHECKED_KEY),
            lowerCase(ProxyHeaders.TARGET_CONDITION),
            lowerCase(ProxyHeaders.RETRY_AFTER_MILLISECONDS));

    private HeaderValues() {}

    /** Returns all headers of a message, in their order. */
    static List<HeaderField> fromMessage(MessageHeaders message) {
        List<HeaderField> headers = new ArrayList<>();
        for (Header header : message.getHeaders()) {
            headers.add(HeaderField.of(header.getName(), header.getValue()));
        }
        return List.copyOf(headers);
    }

    /** Returns the headers to forward: all except hop-by-hop headers and those that nodes set for one hop. */
    public static List<HeaderField> forwardable(List<HeaderField> headers) {
        Set<String> connectionHeaders = namesInConnectionHeader(headers);
        List<HeaderField> forwarded = new ArrayList<>();
        for (HeaderField header : headers) {
            String name = lowerCase(header.name());
            boolean isHopHeader = OutboundMessage.isHopByHop(name)
                    || INTERNAL_HEADERS.contains(name)
                    || connectionHeaders.contains(name);
            if (!isHopHeader) {
                forwarded.add(header);
            }
        }
        return forwarded;
    }

    /** Returns the host of the Host header, without its port; empty when there is none. */
    public static String hostWithoutPort(List<HeaderField> headers) {
        String host = HeaderField.find(headers, HttpHeaders.HOST).orElse("");
        int port = host.lastIndexOf(':');
        return port < 0 ? host : host.substring(0, port);
    }

    /** Returns the names that the Connection header lists, in lower case; these headers are not forwarded. */
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

    /**
     * Returns the value of a header as a non-negative integer; empty if it is missing, malformed or longer than 15
     * digits.
     */
    public static OptionalLong findNumber(List<HeaderField> headers, String name) {
        Optional<String> text = HeaderField.find(headers, name);
        if (text.isEmpty() || !NUMBER.matcher(text.get()).matches()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(text.get()));
    }

    /** Returns the value of a header in milliseconds, limited to one day; empty if it is missing or malformed. */
    public static Optional<Duration> findMilliseconds(List<HeaderField> headers, String name) {
        OptionalLong parsed = findNumber(headers, name);
        return parsed.isEmpty()
                ? Optional.empty()
                : Optional.of(Duration.ofMillis(Math.min(parsed.getAsLong(), MAXIMUM_MILLISECONDS)));
    }

    /** Returns the delay after which a response asks for a retry; one second if it states none. */
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
