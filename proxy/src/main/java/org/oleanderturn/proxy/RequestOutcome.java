package org.oleanderturn.proxy;

import java.util.Optional;

/** Whether a target ran a request, as stated in {@link ProxyHeaders#OUTCOME}. */
public enum RequestOutcome {
    /** A target ran the request, and this is its response. */
    RAN("ran"),
    /** No target has run the request, and none will. */
    NOT_RUN("not-run"),
    /** A target may have run the request; its response was lost. */
    UNKNOWN("unknown");

    private final String text;

    RequestOutcome(String text) {
        this.text = text;
    }

    /** Returns the header value. */
    public String text() {
        return text;
    }

    /** Parses a header value; returns empty if it is not one of the outcomes. */
    public static Optional<RequestOutcome> parse(String text) {
        for (RequestOutcome outcome : values()) {
            if (outcome.text.equals(text)) {
                return Optional.of(outcome);
            }
        }
        return Optional.empty();
    }
}
