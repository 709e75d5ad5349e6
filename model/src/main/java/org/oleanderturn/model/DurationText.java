package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A duration written as text: a decimal number and its unit, {@code ms} or {@code s}, such as {@code 2.5s}.
 *
 * <p>Invariant: the text is well-formed. Immutable and thread safe.
 */
public record DurationText(@JsonValue String text) {
    private static final Pattern PATTERN = Pattern.compile("([0-9]{1,12}(?:\\.[0-9]{1,9})?)(ms|s)");
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Throws {@link IllegalArgumentException} if the text is malformed. */
    public DurationText {
        Objects.requireNonNull(text, "text is null");
        if (!PATTERN.matcher(text).matches()) {
            throw new IllegalArgumentException("not a duration in ms or s: " + text);
        }
    }

    /** Returns the duration with the given text; a malformed one is an {@link IllegalArgumentException}. */
    @JsonCreator
    public static DurationText of(String text) {
        return new DurationText(text);
    }

    /** Parses a duration; empty when the text is malformed. */
    public static Optional<DurationText> parse(String text) {
        return PATTERN.matcher(text).matches() ? Optional.of(new DurationText(text)) : Optional.empty();
    }

    /** Returns the duration, rounded to whole nanoseconds. */
    public Duration duration() {
        Matcher matcher = PATTERN.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalStateException("malformed duration despite the check at construction: " + text);
        }
        double nanosecondsPerUnit =
                matcher.group(2).equals("ms") ? NANOSECONDS_PER_MILLISECOND : NANOSECONDS_PER_SECOND;
        return Duration.ofNanos(Math.round(Double.parseDouble(matcher.group(1)) * nanosecondsPerUnit));
    }
}
