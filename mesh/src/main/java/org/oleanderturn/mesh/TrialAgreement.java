package org.oleanderturn.mesh;

import org.oleanderturn.traffic.Fingerprint;

/**
 * Agrees with all other nodes, also with those that this one doesn't reach, that a request under strong suspicion is
 * tried. Implementations are thread safe and may block for as long as a call to the store takes.
 */
@FunctionalInterface
public interface TrialAgreement {

    /** Returns whether this node, and no other, may try a request at a level of suspicion. */
    boolean isGranted(Fingerprint fingerprint, int level);
}
