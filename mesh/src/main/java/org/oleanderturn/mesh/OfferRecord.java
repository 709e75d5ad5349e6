package org.oleanderturn.mesh;

import java.time.Duration;
import org.oleanderturn.traffic.OfferThrottle;

/** Records the replies to offers for the throttle that decides on the next ones. Stateless. */
final class OfferRecord {
    private OfferRecord() {}

    /** Records a reply that took the given time. */
    static void record(OfferThrottle throttle, GuardReply reply, Duration duration) {
        switch (reply) {
            case GuardReply.Ran _, GuardReply.Unknown _ -> throttle.recordTaken();
            case GuardReply.NotRun notRun
            when notRun.isForLackOfRoom() -> throttle.recordRefused(duration, notRun.retryAfter());
            case GuardReply.NotRun notRun when notRun.isOvertaken() -> throttle.recordOvertaken(notRun.retryAfter());
            case GuardReply.NotRun _, GuardReply.Abandoned _, GuardReply.Quarantined _ -> {
                // These tell nothing of the room at the target.
            }
        }
    }
}
