package org.oleanderturn.node;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.oleanderturn.mesh.PlacementExplainer;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.DecodeFailure;
import org.oleanderturn.model.PlacementQuestion;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;

/** Answers operators' questions where a request would go. Thread safe. */
final class PlacementHandler implements RequestHandler {
    /** Longer than any request target that a listener accepts. */
    private static final int BODY_LIMIT_BYTES = 128 * 1024;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;

    private final Supplier<Optional<PlacementExplainer>> explainer;

    /**
     * Creates a handler.
     *
     * @param explainer returns the explainer; empty until the node serves requests
     */
    PlacementHandler(Supplier<Optional<PlacementExplainer>> explainer) {
        this.explainer = Objects.requireNonNull(explainer, "explainer is null");
    }

    @Override
    public Response handle(InboundRequest request) throws IOException {
        Optional<PlacementExplainer> available = explainer.get();
        if (available.isEmpty()) {
            return Response.text(UNAVAILABLE, "text/plain", "not started\n");
        }
        Optional<byte[]> body = request.readBody(BODY_LIMIT_BYTES);
        if (body.isEmpty()) {
            return malformed(DecodeFailure.of("", "longer than " + BODY_LIMIT_BYTES + " bytes"));
        }
        Either<DecodeFailure, PlacementQuestion> question = Codec.json().decode(body.get(), PlacementQuestion.class);
        return question.fold(
                PlacementHandler::malformed,
                decoded -> Response.json(OK, available.get().explain(decoded)));
    }

    private static Response malformed(DecodeFailure failure) {
        return Response.json(BAD_REQUEST, failure);
    }
}
