package org.oleanderturn.mesh;

import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.model.SoftwareVersion;

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
 * @param version the version of the target's software; empty if the report states none that is well-formed
 */
public record TargetReport(
        TargetStart start,
        long sequence,
        ServiceName service,
        int slots,
        boolean isLeaving,
        Optional<SoftwareVersion> version) {

    /** Throws a {@link NullPointerException} when a component is null. */
    public TargetReport {
        Objects.requireNonNull(start, "start is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(version, "version is null");
    }

    /** Creates a report that states no version. */
    public TargetReport(TargetStart start, long sequence, ServiceName service, int slots, boolean isLeaving) {
        this(start, sequence, service, slots, isLeaving, Optional.empty());
    }
}
