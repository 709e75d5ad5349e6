package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.oleanderturn.model.KeyDigest;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.InboundRequest;

/** An adapter that reads the headers "Id", "Key", "Signed" and "Not-Executed"; every call of a target is malformed. */
final class FakeProtocolAdapter implements ProtocolAdapter {
    private final Optional<Duration> timeout;

    FakeProtocolAdapter(Optional<Duration> timeout) {
        this.timeout = timeout;
    }

    @Override
    public ClientRequestMetadata clientMetadata(InboundRequest request) {
        ClientCredentials credentials = request.header("Key")
                .<ClientCredentials>map(key -> new ClientCredentials.Key(KeyDigest.ofKey(key)))
                .orElseGet(ClientCredentials::none);
        return new ClientRequestMetadata(request.header("Id").orElse(""), timeout, "host.example", credentials);
    }

    @Override
    public List<HeaderField> withoutCredentials(List<HeaderField> received) {
        return received;
    }

    @Override
    public List<HeaderField> targetHeaders(
            List<HeaderField> received,
            ClientRequestMetadata client,
            ServiceName caller,
            Optional<OrganisationName> organisation,
            Duration remaining,
            String instance) {
        return received;
    }

    @Override
    public String timeLimitHeader() {
        return "Time-Limit";
    }

    @Override
    public TargetResponseMetadata responseMetadata(List<HeaderField> headers) {
        return new TargetResponseMetadata(
                HeaderField.find(headers, "Id"),
                HeaderField.find(headers, "Signed").isPresent(),
                HeaderField.find(headers, "Not-Executed").isPresent(),
                Optional.empty(),
                Optional.of(TargetSignals.none()));
    }

    @Override
    public TargetCall targetCall(InboundRequest request) {
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
