package org.oleanderturn.testbed;

import java.util.Objects;

/** What a caller does after a sending: it ends, or sends the same request again. Immutable and thread safe. */
public sealed interface LoadStep {

    /** The request is over. */
    record End(LoadOutcome outcome) implements LoadStep {

        /** Checks that the outcome is there. */
        public End {
            Objects.requireNonNull(outcome, "outcome is null");
        }
    }

    /**
     * Send it again, to another entry.
     *
     * @param waitMilliseconds how long to wait first
     */
    record Again(long waitMilliseconds) implements LoadStep {}
}
