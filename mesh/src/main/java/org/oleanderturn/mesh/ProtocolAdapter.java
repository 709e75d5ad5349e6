package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.List;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.InboundRequest;

/**
 * How clients and targets of a platform spell what the mesh needs to know.
 *
 * <p>Implementations decide nothing and are thread safe.
 */
public interface ProtocolAdapter {

    /** Reads what a client says of its request. */
    ClientRequestMetadata clientMetadata(InboundRequest request);

    /** Returns the headers for the target: the client's, with those set that the node answers for. */
    List<HeaderField> targetHeaders(
            List<HeaderField> received,
            ClientRequestMetadata client,
            ServiceName caller,
            Duration left,
            String instance);

    /** Reads what a target's answer says beside its status and body. */
    TargetAnswerMetadata answerMetadata(List<HeaderField> headers);

    /** Reads a call of the local target. */
    TargetCall targetCall(InboundRequest request);

    /** Returns whether the platform asks by this request whether the node is ready. */
    boolean isReadinessCheck(InboundRequest request);

    /** Returns the path by which a target is asked whether it is healthy, unless its service says otherwise. */
    String healthPath();
}
