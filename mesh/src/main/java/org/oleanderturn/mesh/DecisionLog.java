package org.oleanderturn.mesh;

/**
 * Records decisions about requests, so that an operator can trace a request afterwards.
 *
 * <p>Implementations are thread safe and never block.
 */
public interface DecisionLog {

    /** Records a decision. */
    void record(Decision decision);
}
