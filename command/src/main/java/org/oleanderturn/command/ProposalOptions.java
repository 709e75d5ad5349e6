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

/** The options of the commands that propose a configuration. The parser sets the fields. Used by one thread. */
final class ProposalOptions {
    private static final int RANDOM_ID_BYTES = 16;
    private static final int DEFAULT_WAIT_MILLISECONDS = 30_000;

    @Option(
            names = "--id",
            paramLabel = "ID",
            description = "The proposal's id (default: a random id)."
                    + " Resending a proposal with the same id never applies it twice.")
    private String proposalId;

    @Option(
            names = "--expect-version",
            paramLabel = "N",
            description = "The version that the change is based on; the change is refused if another one is in force.")
    private Long expectedVersion;

    @Option(
            names = "--rebase",
            description = "With --expect-version: also accept the change if newer versions changed only other objects.")
    private boolean isRebaseAllowed;

    @Option(names = "--wait", description = "Wait until the accepted version is in force on every reachable proxy.")
    private boolean isWaitRequested;

    @Option(
            names = "--wait-timeout",
            paramLabel = "MILLISECONDS",
            description = "Time limit for --wait (default: ${DEFAULT-VALUE}).",
            defaultValue = "" + DEFAULT_WAIT_MILLISECONDS)
    private int waitTimeoutMilliseconds;

    /** Returns a proposal of the configuration with these options; fails when an option is malformed. */
    Either<CommandFailure, Proposal> createProposal(Configuration configuration, RandomGenerator random) {
        if (isRebaseAllowed && expectedVersion == null) {
            return Either.left(new CommandFailure.MalformedCommandLine("--rebase requires --expect-version"));
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

    boolean isWaitRequested() {
        return isWaitRequested;
    }

    long waitTimeoutMilliseconds() {
        return waitTimeoutMilliseconds;
    }

    /** Returns the proposal id that the text holds; fails when it is malformed. */
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
