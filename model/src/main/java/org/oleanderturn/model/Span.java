package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A length of time as text: a number and its unit, {@code ms} or {@code s}.
 *
 * <p>Invariant: the text is well-formed. Immutable and thread safe.
 */
public record Span(@JsonValue String text) {
    private static final Pattern FORM = Pattern.compile("([0-9]{1,12}(?:\\.[0-9]{1,9})?)(ms|s)");
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Checks the text. */
    public Span {
        Objects.requireNonNull(text, "text is null");
        if (!FORM.matcher(text).matches()) {
            throw new IllegalArgumentException("not a time: " + text);
        }
    }

    /** Returns the time that a text states. */
    @JsonCreator
    public static Span of(String text) {
        return new Span(text);
    }

    /** Returns the time that a text states; empty when it is malformed. */
    public static Optional<Span> parse(String text) {
        return FORM.matcher(text).matches() ? Optional.of(new Span(text)) : Optional.empty();
    }

    /** Returns the time. */
    public Duration duration() {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalStateException("checked at construction: " + text);
        }
        double unit = matcher.group(2).equals("ms") ? NANOSECONDS_PER_MILLISECOND : NANOSECONDS_PER_SECOND;
        return Duration.ofNanos(Math.round(Double.parseDouble(matcher.group(1)) * unit));
    }
}
