package org.oleanderturn.mesh;

import java.util.Objects;
import org.oleanderturn.model.KeyDigest;

/** The key that a client states with its request. Implementations are immutable and thread safe. */
public sealed interface ClientCredentials {

    /** Returns the credentials of a client that states no key. */
    static ClientCredentials none() {
        return None.INSTANCE;
    }

    /** The client states no key. */
    record None() implements ClientCredentials {
        private static final None INSTANCE = new None();
    }

    /** The client states a key with this digest. */
    record Key(KeyDigest digest) implements ClientCredentials {

        /** Throws a {@link NullPointerException} when the digest is null. */
        public Key {
            Objects.requireNonNull(digest, "digest is null");
        }
    }

    /** The client states a key more than once, or in a form that holds no key. */
    record Malformed() implements ClientCredentials {}
}
