package org.oleanderturn.claims;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * The progress of a claimed booking.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME)
@JsonSubTypes({
    @JsonSubTypes.Type(ClaimState.Claimed.class),
    @JsonSubTypes.Type(ClaimState.Finished.class),
    @JsonSubTypes.Type(ClaimState.FinishedUnrecorded.class),
    @JsonSubTypes.Type(ClaimState.Released.class)
})
public sealed interface ClaimState {

    /** The holder of the token may run the booking, is running it, or has run it. */
    record Claimed() implements ClaimState {}

    /** The booking ran with this answer. */
    record Finished(RecordedAnswer answer) implements ClaimState {}

    /** The booking ran with this status; its answer was too large to be recorded. */
    record FinishedUnrecorded(int status) implements ClaimState {}

    /** The booking did not run and the holder of the token will not run it, so the key may be claimed again. */
    record Released() implements ClaimState {}
}
