package org.oleanderturn.command;

import io.vavr.control.Either;
import java.util.HexFormat;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Proposal;
import org.oleanderturn.model.ProposalId;
import picocli.CommandLine.Option;

/** The options of the commands that propose a configuration. Filled in by the parser; used by one thread. */
final class ProposalOptions {
    private static final int RANDOM_ID_BYTES = 16;
    private static final int DEFAULT_WAIT_MILLISECONDS = 30_000;

    @Option(
            names = "--id",
            paramLabel = "ID",
            description = "The proposal's id; a new random one when left out."
                    + " Sending the same proposal again under its id never applies it twice.")
    private String proposalId;

    @Option(
            names = "--expect-version",
            paramLabel = "N",
            description = "The version that the change starts from; with another one in force it is refused.")
    private Long expectedVersion;

    @Option(
            names = "--rebase",
            description = "With --expect-version: accept on top of a newer version that changed other objects only.")
    private boolean isRebaseAllowed;

    @Option(names = "--wait", description = "Wait until the accepted version is in force on every reachable proxy.")
    private boolean isWaiting;

    @Option(
            names = "--wait-timeout",
            paramLabel = "MILLISECONDS",
            description = "How long to wait at most (default: ${DEFAULT-VALUE}).",
            defaultValue = "" + DEFAULT_WAIT_MILLISECONDS)
    private int waitTimeoutMilliseconds;

    /** Returns the proposal of a configuration under these options. */
    Either<CommandFailure, Proposal> proposal(Configuration configuration, RandomGenerator random) {
        if (isRebaseAllowed && expectedVersion == null) {
            return Either.left(new CommandFailure.MalformedCommandLine("--rebase needs --expect-version"));
        }
        if (expectedVersion != null && expectedVersion < 0) {
            return Either.left(new CommandFailure.MalformedValue(
                    "--expect-version", Long.toString(expectedVersion), "a version, 0 or higher"));
        }
        if (waitTimeoutMilliseconds < 0) {
            return Either.left(new CommandFailure.MalformedValue(
                    "--wait-timeout", Integer.toString(waitTimeoutMilliseconds), "milliseconds, 0 or more"));
        }
        Optional<ConfigurationVersion> expected =
                Optional.ofNullable(expectedVersion).map(ConfigurationVersion::of);
        return parseId(proposalId == null ? randomId(random) : proposalId)
                .map(id -> new Proposal(id, expected, isRebaseAllowed, configuration));
    }

    boolean isWaiting() {
        return isWaiting;
    }

    long waitTimeoutMilliseconds() {
        return waitTimeoutMilliseconds;
    }

    /** Parses a proposal's id. */
    static Either<CommandFailure, ProposalId> parseId(String text) {
        try {
            return Either.right(ProposalId.of(text));
        } catch (IllegalArgumentException malformed) {
            String expected = "1 to 63 lower-case letters, digits, dots, underscores and hyphens";
            return Either.left(new CommandFailure.MalformedValue("proposal id", text, expected));
        }
    }

    private static String randomId(RandomGenerator random) {
        byte[] bytes = new byte[RANDOM_ID_BYTES];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
