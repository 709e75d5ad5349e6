package org.oleanderturn.node;

import java.util.List;
import java.util.Optional;
import org.oleanderturn.model.NodeId;

/**
 * Chooses which node is asked to judge rollouts.
 *
 * <p>All nodes prefer the same one, as a rollout goes on only at a judge to which more than half of them report. Invariant: a
 * node that asks another one returns to the preferred one within {@value #ANSWERS_ELSEWHERE} answers of the other once that
 * answers again, and at once when another node is preferred. For one thread.
 */
final class JudgeChoice {
    /** A message may be lost; three in a row with their time-outs take about as long as a permission lasts. */
    private static final int ATTEMPTS_AT_A_JUDGE = 3;

    /** About 5 s of reports; each return to a node that does not answer costs up to one time-out. */
    private static final int ANSWERS_ELSEWHERE = 4;

    private Optional<NodeId> preferred = Optional.empty();
    private int position;
    private int failures;
    private int answersElsewhere;

    /** Where to go back to if the preferred node, which is asked again, does not answer; 0 if it is not asked again. */
    private int lastPosition;

    /**
     * Returns the node to ask next.
     *
     * @param nodes the reachable nodes, this one included, in the order in which they are preferred
     */
    NodeId choose(List<NodeId> nodes) {
        if (!preferred.equals(Optional.of(nodes.getFirst()))) {
            reset();
            preferred = Optional.of(nodes.getFirst());
        }
        return nodes.get(position % nodes.size());
    }

    /** Forgets earlier answers, as when there is nothing to report. */
    void reset() {
        preferred = Optional.empty();
        position = 0;
        failures = 0;
        answersElsewhere = 0;
        lastPosition = 0;
    }

    /** Records that the chosen node answered. */
    void recordAnswer() {
        failures = 0;
        lastPosition = 0;
        if (position > 0 && ++answersElsewhere >= ANSWERS_ELSEWHERE) {
            lastPosition = position;
            position = 0;
            answersElsewhere = 0;
        }
    }

    /** Records that the chosen node did not answer, or does not judge. */
    void recordSilence() {
        if (lastPosition > 0) {
            position = lastPosition;
            lastPosition = 0;
        } else if (++failures >= ATTEMPTS_AT_A_JUDGE) {
            position++;
            failures = 0;
            answersElsewhere = 0;
        }
    }
}
