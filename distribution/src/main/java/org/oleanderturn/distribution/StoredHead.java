package org.oleanderturn.distribution;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;

/**
 * The {@link ConfigurationHead} as read from the store, with the revision of its key.
 *
 * <p>Immutable and thread safe.
 *
 * @param revision the revision of the key; {@link StoredValue#ABSENT} when the key is absent
 * @param head the decoded head; {@link ConfigurationHead#empty} when the key is absent
 */
public record StoredHead(long revision, ConfigurationHead head) {

    /** Throws {@link NullPointerException} if the head is null. */
    public StoredHead {
        Objects.requireNonNull(head, "head is null");
    }

    /** Reads the head; one that cannot be decoded is a {@link StoreFailure.Malformed}. */
    public static Either<StoreFailure, StoredHead> read(Store store) {
        Objects.requireNonNull(store, "store is null");
        return store.get(ConfigurationHead.KEY).flatMap(StoredHead::of);
    }

    /** Decodes a stored head; an absent value is the empty head, a malformed one a {@link StoreFailure.Malformed}. */
    public static Either<StoreFailure, StoredHead> of(Optional<StoredValue> stored) {
        if (stored.isEmpty()) {
            return Either.right(new StoredHead(StoredValue.ABSENT, ConfigurationHead.empty()));
        }
        long revision = stored.get().revision();
        return ConfigurationHead.decode(stored.get().value())
                .<StoreFailure>mapLeft(failure -> new StoreFailure.Malformed(failure.path() + " " + failure.reason()))
                .map(head -> new StoredHead(revision, head));
    }
}
