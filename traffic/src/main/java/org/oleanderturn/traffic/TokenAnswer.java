package org.oleanderturn.traffic;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Map;
import org.oleanderturn.model.OrganisationName;

/**
 * A holder's answer to a {@link TokenRequest}.
 *
 * <p>Encoded as an array, as the request is. Immutable and thread safe.
 *
 * @param epoch identifies the holder's pool
 * @param stamp the holder's clock when it answered, in milliseconds, to be returned with the next right
 * @param granted the tokens granted, by organisation
 * @param waits for organisations that got fewer than wanted: the milliseconds after which a token is expected
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TokenAnswer(
        int epoch, long stamp, Map<OrganisationName, Integer> granted, Map<OrganisationName, Integer> waits) {

    /** Copies the maps. */
    public TokenAnswer {
        granted = Map.copyOf(granted);
        waits = Map.copyOf(waits);
    }
}
