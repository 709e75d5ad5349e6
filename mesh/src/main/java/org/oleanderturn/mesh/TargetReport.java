package org.oleanderturn.mesh;

import java.util.Objects;
import org.oleanderturn.model.ServiceName;

/**
 * What a target says of itself in a heartbeat.
 *
 * <p>Immutable and thread safe.
 *
 * @param start the start of the target that speaks
 * @param sequence higher with each report of one start
 * @param service the service that it answers for
 * @param slots requests that it runs at once
 * @param isLeaving whether it takes no new work and ends soon
 */
public record TargetReport(TargetStart start, long sequence, ServiceName service, int slots, boolean isLeaving) {

    /** Checks that every part is there. */
    public TargetReport {
        Objects.requireNonNull(start, "start is null");
        Objects.requireNonNull(service, "service is null");
    }
}
