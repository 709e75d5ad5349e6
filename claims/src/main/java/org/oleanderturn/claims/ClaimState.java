package org.oleanderturn.claims;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * How far a claimed booking got.
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

    /** The holder of the token may run the booking, runs it, or ran it. */
    record Claimed() implements ClaimState {}

    /** The booking ran and this was its answer. */
    record Finished(RecordedAnswer answer) implements ClaimState {}

    /** The booking ran; its answer was too large to be recorded. */
    record FinishedUnrecorded(int status) implements ClaimState {}

    /** The booking did not run and the holder of the token will not run it; the key may be claimed again. */
    record Released() implements ClaimState {}
}
