package org.oleanderturn.mesh;

import java.util.Objects;
import org.oleanderturn.model.ServiceName;

/**
 * What a target reports about itself in a heartbeat.
 *
 * <p>Immutable and thread safe.
 *
 * @param start identifies the target process that sent the report
 * @param sequence rises with each report of one process
 * @param service the service that the target runs
 * @param slots how many requests the target runs at once
 * @param isLeaving whether the target accepts no new requests and exits soon
 */
public record TargetReport(TargetStart start, long sequence, ServiceName service, int slots, boolean isLeaving) {

    /** Throws a {@link NullPointerException} when a component is null. */
    public TargetReport {
        Objects.requireNonNull(start, "start is null");
        Objects.requireNonNull(service, "service is null");
    }
}
