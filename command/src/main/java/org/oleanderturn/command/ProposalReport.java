package org.oleanderturn.command;

import java.util.Optional;
import org.oleanderturn.model.ChangeOutcome;

/**
 * The result of a command that proposes a configuration, as written in the JSON format. Immutable and thread safe.
 *
 * @param outcome the proposal's outcome
 * @param convergence which proxies hold the accepted version; empty without {@code --wait}
 */
public record ProposalReport(ChangeOutcome outcome, Optional<Convergence> convergence) {}
