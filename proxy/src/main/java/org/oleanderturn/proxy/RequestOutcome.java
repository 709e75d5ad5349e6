package org.oleanderturn.proxy;

import java.util.Optional;

/** What became of a request, as said in {@link ProxyHeaders#OUTCOME}. */
public enum RequestOutcome {
    /** A target ran it and this is its answer. */
    RAN("ran"),
    /** No target ran it, and none will. */
    NOT_RUN("not-run"),
    /** A target may have run it; its answer is lost. */
    UNKNOWN("unknown");

    private final String text;

    RequestOutcome(String text) {
        this.text = text;
    }

    /** Returns the header's value. */
    public String text() {
        return text;
    }

    /** Returns the outcome that a header's value states, if it states one. */
    public static Optional<RequestOutcome> parse(String text) {
        for (RequestOutcome outcome : values()) {
            if (outcome.text.equals(text)) {
                return Optional.of(outcome);
            }
        }
        return Optional.empty();
    }
}
