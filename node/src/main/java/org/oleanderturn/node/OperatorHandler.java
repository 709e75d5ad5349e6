package org.oleanderturn.node;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.membership.MemberTable;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationCheck;
import org.oleanderturn.model.DecodeFailure;
import org.oleanderturn.model.DrainOutcome;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.Names;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.OperatorPaths;
import org.oleanderturn.model.Proposal;
import org.oleanderturn.model.ProposalId;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;

/**
 * Serves the operators' HTTP interface; {@link OperatorPaths} lists its paths.
 *
 * <p>Thread safe.
 */
final class OperatorHandler implements RequestHandler {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    private static final int BODY_LIMIT_BYTES = 16_000_000;
    private static final String METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final ControlPlane control;
    private final RoutingState routing;
    private final DrainController drainController;
    private final ControlChannel channel;
    private final ProxyStatusQuery proxyStatusQuery;
    private final NodeMetrics metrics;
    private final Supplier<StateDump> state;

    OperatorHandler(
            ControlPlane control,
            RoutingState routing,
            DrainController drainController,
            ControlChannel channel,
            NodeMetrics metrics,
            Supplier<StateDump> state) {
        this.control = Objects.requireNonNull(control, "control is null");
        this.routing = Objects.requireNonNull(routing, "routing is null");
        this.drainController = Objects.requireNonNull(drainController, "drainController is null");
        this.channel = Objects.requireNonNull(channel, "channel is null");
        this.proxyStatusQuery = new ProxyStatusQuery(control, channel);
        this.metrics = Objects.requireNonNull(metrics, "metrics is null");
        this.state = Objects.requireNonNull(state, "state is null");
    }

    /** The body of an error response. */
    record CallFault(String type, String path, String reason) {}

    @Override
    public Response handle(InboundRequest request) throws IOException {
        return switch (request.method()) {
            case "GET" -> query(request.path());
            case "POST" -> command(request);
            default -> fault(BAD_REQUEST, "UnknownMethod", request.method(), "GET and POST are known");
        };
    }

    // -- queries

    private Response query(String path) {
        return switch (path) {
            case OperatorPaths.STATE -> Response.json(OK, state.get());
            case OperatorPaths.CONFIGURATION ->
                Response.json(OK, control.holder().held());
            case OperatorPaths.PROXIES -> Response.json(OK, proxyStatusQuery.read());
            case OperatorPaths.ROUTES -> Response.json(OK, routing.table().entries());
            case OperatorPaths.ENDPOINTS -> Response.json(OK, endpoints());
            case OperatorPaths.METRICS -> Response.text(OK, METRICS_CONTENT_TYPE, metrics.text());
            default -> queryChange(path);
        };
    }

    /** Returns every endpoint, with the configured slots where its service is declared. */
    private List<Endpoint> endpoints() {
        RoutingTable table = routing.table();
        return table.view().all().stream()
                .map(endpoint -> table.snapshot()
                        .configuration()
                        .service(endpoint.service())
                        .map(service -> endpoint.withSlots(service.slots()))
                        .orElse(endpoint))
                .toList();
    }

    private Response queryChange(String path) {
        Optional<String> name = nameAfter(OperatorPaths.CHANGES, path);
        return name.map(text -> Response.json(OK, control.acceptor().outcome(ProposalId.of(text))))
                .orElseGet(() -> fault(NOT_FOUND, "UnknownPath", path, "no such query"));
    }

    // -- commands

    private Response command(InboundRequest request) throws IOException {
        Optional<byte[]> body = request.readBody(BODY_LIMIT_BYTES);
        if (body.isEmpty()) {
            return fault(TOO_LARGE, "BodyTooLarge", "", "the limit is " + BODY_LIMIT_BYTES + " bytes");
        }
        String path = request.path();
        return switch (path) {
            case OperatorPaths.CHANGES -> respondToDecoded(body.get(), Proposal.class, control.acceptor()::propose);
            case OperatorPaths.CHECK -> respondToDecoded(body.get(), Configuration.class, ConfigurationCheck::of);
            default -> commandNode(path);
        };
    }

    private Response commandNode(String path) {
        Optional<String> drainedNode = nameAfter(OperatorPaths.DRAIN, path);
        if (drainedNode.isPresent()) {
            return Response.json(OK, drain(NodeId.of(drainedNode.get()), true));
        }
        Optional<String> undrainedNode = nameAfter(OperatorPaths.UNDRAIN, path);
        return undrainedNode
                .map(name -> Response.json(OK, drain(NodeId.of(name), false)))
                .orElseGet(() -> fault(NOT_FOUND, "UnknownPath", path, "no such command"));
    }

    private DrainOutcome drain(NodeId node, boolean isDraining) {
        MemberTable table = control.gossip().table();
        if (node.equals(table.local().node())) {
            return drainController.setDraining(isDraining);
        }
        Optional<MemberRecord> record = table.record(node);
        if (record.isEmpty()) {
            return new DrainOutcome.UnknownNode(node);
        }
        Either<ControlFailure, DrainOutcome> outcome =
                channel.drain(record.get().controlAddress(), isDraining);
        return outcome.getOrElseGet(failure -> switch (failure) {
            case ControlFailure.Unreachable unreachable -> new DrainOutcome.Unreachable(node, unreachable.reason());
            case ControlFailure.AnswerLost lost -> new DrainOutcome.Undetermined(node, lost.reason());
            case ControlFailure.Malformed malformed -> new DrainOutcome.Undetermined(node, malformed.reason());
        });
    }

    // -- helpers

    private static <T> Response respondToDecoded(byte[] body, Class<T> type, Function<T, ?> action) {
        Either<DecodeFailure, T> value = Codec.json().decode(body, type);
        if (value.isLeft()) {
            DecodeFailure failure = value.getLeft();
            return fault(BAD_REQUEST, "Malformed", failure.path(), failure.reason());
        }
        return Response.json(OK, action.apply(value.get()));
    }

    private static Optional<String> nameAfter(String prefix, String path) {
        if (!path.startsWith(prefix + "/")) {
            return Optional.empty();
        }
        return Optional.of(path.substring(prefix.length() + 1)).filter(Names::isWellFormed);
    }

    private static Response fault(int status, String type, String path, String reason) {
        return Response.json(status, new CallFault(type, path, reason));
    }
}
