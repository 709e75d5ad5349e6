package org.oleanderturn.mesh;

/**
 * Takes note of decisions for whoever has to explain them later.
 *
 * <p>Implementations are thread safe and never block.
 */
public interface DecisionLog {

    /** Takes note of a decision. */
    void record(Decision decision);
}
