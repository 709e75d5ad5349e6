package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.InboundRequest;

/**
 * Translates between the headers and calls of a platform and the mesh's own types.
 *
 * <p>Implementations make no routing decisions and are thread safe.
 */
public interface ProtocolAdapter {

    /** Reads what a client states about its request beside method, path and body. */
    ClientRequestMetadata clientMetadata(InboundRequest request);

    /** Returns a client's headers without its key and without any statement of an organisation, for a node that sets both. */
    List<HeaderField> withoutCredentials(List<HeaderField> received);

    /** Returns the headers for the target: the received ones, with those that the node itself sets replaced. */
    List<HeaderField> targetHeaders(
            List<HeaderField> received,
            ClientRequestMetadata client,
            ServiceName caller,
            Optional<OrganisationName> organisation,
            Duration remaining,
            String instance);

    /** Returns the name of the header that tells a target how long its response is waited for, in milliseconds. */
    String timeLimitHeader();

    /** Reads what a target's response states beside status and body. */
    TargetResponseMetadata responseMetadata(List<HeaderField> headers);

    /** Reads a call of the local target, its body included; blocks. */
    TargetCall targetCall(InboundRequest request);

    /** Returns whether the request is the platform's readiness check of the node. */
    boolean isReadinessCheck(InboundRequest request);

    /** Returns the default path of the health check of a target. */
    String healthPath();
}
