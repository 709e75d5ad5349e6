package org.oleanderturn.traffic;

import java.util.Objects;
import org.oleanderturn.model.RequestKind;

/**
 * A request that asks for a slot of the local target.
 *
 * @param kind what it is
 * @param deadlineNanoseconds the moment on the admission's clock after which it is of no use
 * @param isExclusive whether no other request may be in flight beside it
 */
public record AdmissionRequest(RequestKind kind, long deadlineNanoseconds, boolean isExclusive) {

    /** Checks that the kind is there. */
    public AdmissionRequest {
        Objects.requireNonNull(kind, "kind is null");
    }

    /** Returns work that may share the target. */
    public static AdmissionRequest of(RequestKind kind, long deadlineNanoseconds) {
        return new AdmissionRequest(kind, deadlineNanoseconds, false);
    }

    /** Returns work that runs with no other request in flight. */
    public static AdmissionRequest exclusive(RequestKind kind, long deadlineNanoseconds) {
        return new AdmissionRequest(kind, deadlineNanoseconds, true);
    }

    /** Returns whether it holds its slot for long. */
    public boolean isLongRunning() {
        return kind == RequestKind.DOWNLOAD;
    }
}
