package org.oleanderturn.traffic;

import java.util.Objects;
import org.oleanderturn.model.RequestKind;

/**
 * A request for admission to the local target. Immutable and thread safe.
 *
 * @param kind the kind of request
 * @param deadlineNanoseconds when the request expires, in nanoseconds on the controller's clock
 * @param isExclusive whether no other request may be in flight beside it
 */
public record AdmissionRequest(RequestKind kind, long deadlineNanoseconds, boolean isExclusive) {

    /** Throws {@link NullPointerException} if the kind is null. */
    public AdmissionRequest {
        Objects.requireNonNull(kind, "kind is null");
    }

    /** Returns a request that may run beside others. */
    public static AdmissionRequest of(RequestKind kind, long deadlineNanoseconds) {
        return new AdmissionRequest(kind, deadlineNanoseconds, false);
    }

    /** Returns a request that must run with no other in flight. */
    public static AdmissionRequest exclusive(RequestKind kind, long deadlineNanoseconds) {
        return new AdmissionRequest(kind, deadlineNanoseconds, true);
    }

    /** Returns whether the request is expected to hold its slot for long, as downloads do. */
    public boolean isLongRunning() {
        return kind == RequestKind.DOWNLOAD;
    }
}
