package org.oleanderturn.command;

import java.util.Optional;
import org.oleanderturn.model.ChangeOutcome;

/**
 * What a program learns of a proposal.
 *
 * @param outcome what became of it
 * @param convergence how far it has spread, when that was waited for
 */
public record ProposalReport(ChangeOutcome outcome, Optional<Convergence> convergence) {}
