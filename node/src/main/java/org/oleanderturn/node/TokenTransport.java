package org.oleanderturn.node;

import io.vavr.control.Either;
import java.time.Duration;
import org.oleanderturn.model.Address;
import org.oleanderturn.traffic.TokenAnswer;
import org.oleanderturn.traffic.TokenRequest;

/** Carries requests for tokens of limits to holders. Implementations are thread safe. */
interface TokenTransport {

    /** Sends a request to a holder; blocks until it has answered or the time is over. */
    Either<ControlFailure, TokenAnswer> takeTokens(Address holder, TokenRequest request, Duration timeout);
}
