package org.oleanderturn.claims;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.ServiceName;

/**
 * The key that a caller assigns to a booking, so that a repeated request does not run it again. Keys are scoped to a
 * service.
 *
 * <p>Invariant: the text consists of 1 to 255 visible ASCII characters. Immutable and thread safe.
 */
public record IdempotencyKey(ServiceName service, String text) {
    /** The maximum length of the text, in characters. */
    public static final int MAXIMUM_LENGTH = 255;

    private static final char FIRST_VISIBLE = '!';
    private static final char LAST_VISIBLE = '~';

    /** Why a text is not a valid idempotency key. */
    public sealed interface Fault {
        /** The text is empty. */
        record Empty() implements Fault {}

        /** The text is longer than {@link #MAXIMUM_LENGTH}. */
        record TooLong(int length) implements Fault {}

        /** The character at the given index is not a visible ASCII character. */
        record IllegalCharacter(int index) implements Fault {}
    }

    /** Throws an {@link IllegalArgumentException} if the text is not valid. */
    public IdempotencyKey {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(text, "text is null");
        Either<Fault, String> checked = check(text);
        if (checked.isLeft()) {
            throw new IllegalArgumentException("idempotency key is malformed: " + checked.getLeft());
        }
    }

    /** Returns the key with the given text, or why the text is not valid. */
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
