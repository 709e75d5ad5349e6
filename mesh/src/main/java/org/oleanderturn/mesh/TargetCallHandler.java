package org.oleanderturn.mesh;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.oleanderturn.proxy.Answer;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.RequestHandler;

/**
 * Answers the calls of the local target: heartbeats, and that it leaves.
 *
 * <p>Invariant: a call that the target leaves is answered only after the target is closed. Thread safe.
 */
public final class TargetCallHandler implements RequestHandler {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int OK = 200;

    private final Dialect dialect;
    private final LocalTarget target;

    private TargetCallHandler(Dialect dialect, LocalTarget target) {
        this.dialect = dialect;
        this.target = target;
    }

    /** Returns the handler of a target's calls. */
    public static TargetCallHandler of(Dialect dialect, LocalTarget target) {
        Objects.requireNonNull(dialect, "dialect is null");
        Objects.requireNonNull(target, "target is null");
        return new TargetCallHandler(dialect, target);
    }

    @Override
    public Answer handle(InboundRequest request) throws IOException {
        return switch (dialect.call(request)) {
            case TargetCall.Heartbeat heartbeat -> {
                target.report(heartbeat.report());
                yield answer(OK);
            }
            case TargetCall.Leave leave -> {
                target.leave(leave);
                yield answer(OK);
            }
            case TargetCall.Malformed malformed -> {
                log.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                        "call of the target can't be read: %s", malformed.reason());
                yield answer(HttpStatuses.BAD_REQUEST);
            }
        };
    }

    private static Answer answer(int status) {
        byte[] body = {'{', '}'};
        return Answer.of(
                status, List.of(HeaderField.of("Content-Type", "application/json")), new Answer.Body.Whole(body));
    }
}
