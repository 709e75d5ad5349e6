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
public record DurationText(@JsonValue String text) {
    private static final Pattern PATTERN = Pattern.compile("([0-9]{1,12}(?:\\.[0-9]{1,9})?)(ms|s)");
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Checks the text. */
    public DurationText {
        Objects.requireNonNull(text, "text is null");
        if (!PATTERN.matcher(text).matches()) {
            throw new IllegalArgumentException("not a time: " + text);
        }
    }

    /** Returns the time that a text states. */
    @JsonCreator
    public static DurationText of(String text) {
        return new DurationText(text);
    }

    /** Returns the time that a text states; empty when it is malformed. */
    public static Optional<DurationText> parse(String text) {
        return PATTERN.matcher(text).matches() ? Optional.of(new DurationText(text)) : Optional.empty();
    }

    /** Returns the time. */
    public Duration duration() {
        Matcher matcher = PATTERN.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalStateException("checked at construction: " + text);
        }
        double unit = matcher.group(2).equals("ms") ? NANOSECONDS_PER_MILLISECOND : NANOSECONDS_PER_SECOND;
        return Duration.ofNanos(Math.round(Double.parseDouble(matcher.group(1)) * unit));
    }
}
