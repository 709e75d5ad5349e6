package org.oleanderturn.claims;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.ServiceName;

/**
 * The key a caller gives a booking, so that sending it again does not run it again; keys of two services are apart.
 *
 * <p>Invariant: the text has 1 to 255 visible ASCII characters. Immutable and thread safe.
 */
public record IdempotencyKey(ServiceName service, String text) {
    /** The longest text, in characters. */
    public static final int MAXIMUM_LENGTH = 255;

    private static final char FIRST_VISIBLE = '!';
    private static final char LAST_VISIBLE = '~';

    /** Why a text is no idempotency key. */
    public sealed interface Fault {
        /** The text is empty. */
        record Empty() implements Fault {}

        /** The text is longer than {@link #MAXIMUM_LENGTH}. */
        record TooLong(int length) implements Fault {}

        /** The text has a character that is not visible ASCII, at the given index. */
        record IllegalCharacter(int index) implements Fault {}
    }

    /** Checks the text; a fault is an {@link IllegalArgumentException}. */
    public IdempotencyKey {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(text, "text is null");
        Either<Fault, String> checked = check(text);
        if (checked.isLeft()) {
            throw new IllegalArgumentException("idempotency key is malformed: " + checked.getLeft());
        }
    }

    /** Parses the text of a key of the given service. */
    public static Either<Fault, IdempotencyKey> parse(ServiceName service, String text) {
        Objects.requireNonNull(text, "text is null");
        return check(text).map(checked -> new IdempotencyKey(service, checked));
    }

    /** Returns the digest under which the key is stored. */
    public Digest digest() {
        String scoped = service + "\n" + text;
        return Digest.compute(scoped.getBytes(StandardCharsets.UTF_8));
    }

    private static Either<Fault, String> check(String text) {
        if (text.isEmpty()) {
            return Either.left(new Fault.Empty());
        }
        if (text.length() > MAXIMUM_LENGTH) {
            return Either.left(new Fault.TooLong(text.length()));
        }
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            if (character < FIRST_VISIBLE || character > LAST_VISIBLE) {
                return Either.left(new Fault.IllegalCharacter(index));
            }
        }
        return Either.right(text);
    }
}
