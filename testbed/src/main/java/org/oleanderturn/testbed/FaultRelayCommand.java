package org.oleanderturn.testbed;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.oleanderturn.model.Address;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.ListenerFailure;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.proxy.Response;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs a relay with an administration port that accepts {@code POST /cut}, {@code /freeze}, {@code /heal} and {@code
 * /delay/MILLISECONDS}.
 *
 * <p>Used by one thread; requests to the administration port run on other threads.
 */
@Command(
        name = "relay",
        mixinStandardHelpOptions = true,
        description = "Forwards TCP connections, with faults on request.")
public final class FaultRelayCommand implements Callable<Integer> {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final String DELAY_PATH_PREFIX = "/delay/";

    @Option(names = "--port", required = true, description = "The port on 127.0.0.1.")
    private int port;

    @Option(names = "--upstream", required = true, description = "The address that connections are forwarded to.")
    private String upstream;

    @Option(names = "--admin-port", required = true, description = "The administration port on 127.0.0.1.")
    private int adminPort;

    @Override
    public Integer call() throws IOException, InterruptedException {
        try (FaultRelay relay = FaultRelay.start(port, Address.parse(upstream))) {
            Either<ListenerFailure, HttpListener> admin = HttpListener.start(
                    "127.0.0.1", adminPort, request -> answer(relay, request), ListenerLimits.defaults());
            if (admin.isLeft()) {
                System.err.println(admin.getLeft());
                return CommandLine.ExitCode.SOFTWARE;
            }
            System.out.println("relay listens on 127.0.0.1:" + port);
            new CountDownLatch(1).await();
        }
        return CommandLine.ExitCode.OK;
    }

    private static Response answer(FaultRelay relay, InboundRequest request) throws IOException {
        Optional<FaultRelayMode> mode = parseMode(request.path());
        if (mode.isEmpty()) {
            return Response.text(404, "text/plain", "unknown path; use /cut, /freeze, /heal or /delay/MILLISECONDS\n");
        }
        relay.setMode(mode.get());
        log.atInfo().log("relay mode changed to %s", mode.get());
        return Response.json(200, Map.of("mode", mode.get().toString()));
    }

    /** Returns the mode that a path selects; empty for unknown paths and malformed delays. */
    static Optional<FaultRelayMode> parseMode(String path) {
        if (path.startsWith(DELAY_PATH_PREFIX)) {
            return parseDelay(path.substring(DELAY_PATH_PREFIX.length()));
        }
        return switch (path) {
            case "/cut" -> Optional.of(new FaultRelayMode.Cut());
            case "/freeze" -> Optional.of(new FaultRelayMode.Frozen());
            case "/heal" -> Optional.of(new FaultRelayMode.Healed());
            default -> Optional.empty();
        };
    }

    private static Optional<FaultRelayMode> parseDelay(String text) {
        try {
            return Optional.of(new FaultRelayMode.Delayed(Long.parseLong(text)));
        } catch (IllegalArgumentException cause) {
            return Optional.empty();
        }
    }
}
