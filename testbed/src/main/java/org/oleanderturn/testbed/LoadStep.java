package org.oleanderturn.testbed;

import java.util.Objects;

/** The next step of a request after an attempt: its end or a retry. Immutable and thread safe. */
public sealed interface LoadStep {

    /** The request ends with this outcome. */
    record End(LoadOutcome outcome) implements LoadStep {

        /** Throws {@link NullPointerException} when the outcome is null. */
        public End {
            Objects.requireNonNull(outcome, "outcome is null");
        }
    }

    /**
     * The request is sent again, to the next entry of the plan.
     *
     * @param waitMilliseconds how long to wait before the retry
     */
    record Retry(long waitMilliseconds) implements LoadStep {}
}
