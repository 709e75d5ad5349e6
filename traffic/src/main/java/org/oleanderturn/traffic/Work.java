package org.oleanderturn.traffic;

import java.util.Objects;
import org.oleanderturn.model.RequestKind;

/**
 * A request that asks for a slot of the local target.
 *
 * @param kind what it is
 * @param deadlineNanoseconds the moment on the admission's clock after which it is of no use
 * @param isAlone whether no other request may be in flight beside it
 */
public record Work(RequestKind kind, long deadlineNanoseconds, boolean isAlone) {

    /** Checks that the kind is there. */
    public Work {
        Objects.requireNonNull(kind, "kind is null");
    }

    /** Returns work that may share the target. */
    public static Work of(RequestKind kind, long deadlineNanoseconds) {
        return new Work(kind, deadlineNanoseconds, false);
    }

    /** Returns work that runs with no other request in flight. */
    public static Work alone(RequestKind kind, long deadlineNanoseconds) {
        return new Work(kind, deadlineNanoseconds, true);
    }

    /** Returns whether it holds its slot for long. */
    public boolean isLong() {
        return kind == RequestKind.DOWNLOAD;
    }
}
