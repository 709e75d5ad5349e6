package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.InboundRequest;

/** A dialect whose headers are "Id" and "Signed"; a target's call is malformed. */
final class FakeDialect implements Dialect {
    private final Optional<Duration> patience;

    FakeDialect(Optional<Duration> patience) {
        this.patience = patience;
    }

    @Override
    public ClientRequest client(InboundRequest request) {
        return new ClientRequest(request.header("Id").orElse(""), patience, "host.example");
    }

    @Override
    public List<HeaderField> toTarget(
            List<HeaderField> received, ClientRequest client, ServiceName caller, Duration left, String instance) {
        return received;
    }

    @Override
    public TargetSignals signals(List<HeaderField> headers) {
        return new TargetSignals(
                HeaderField.find(headers, "Id"),
                HeaderField.find(headers, "Signed").isPresent(),
                HeaderField.find(headers, "Not-Executed").isPresent(),
                Optional.empty());
    }

    @Override
    public TargetCall call(InboundRequest request) {
        return new TargetCall.Malformed("fake");
    }

    @Override
    public boolean isReadinessCheck(InboundRequest request) {
        return false;
    }

    @Override
    public String healthPath() {
        return "/";
    }
}
