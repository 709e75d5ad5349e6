package org.oleanderturn.distribution;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;

/**
 * The {@link ConfigurationHead} as read from the store, with its revision.
 *
 * <p>Immutable and thread safe.
 *
 * @param revision the key's revision; {@link StoredValue#ABSENT} when the key is absent
 * @param head the head; empty when the key is absent
 */
public record StoredHead(long revision, ConfigurationHead head) {

    /** Checks that the head is there. */
    public StoredHead {
        Objects.requireNonNull(head, "head is null");
    }

    /** Reads the head; one that can't be decoded is {@link StoreFailure.Malformed}. */
    public static Either<StoreFailure, StoredHead> read(Store store) {
        Objects.requireNonNull(store, "store is null");
        return store.get(ConfigurationHead.KEY).flatMap(StoredHead::of);
    }

    /** Decodes a stored head; an absent one is the empty head. */
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
