package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.Objects;
import org.oleanderturn.traffic.LinkSchedule;
import org.oleanderturn.traffic.Pause;

/**
 * Holds large responses to other nodes back while the node's link carries those before them.
 *
 * <p>Thread safe.
 */
public final class ResponsePacer {
    private final LinkSchedule link;
    private final Pause pause;

    private ResponsePacer(LinkSchedule link, Pause pause) {
        this.link = link;
        this.pause = pause;
    }

    /** Returns the pacer of a link. */
    public static ResponsePacer of(LinkSchedule link, Pause pause) {
        Objects.requireNonNull(link, "link is null");
        Objects.requireNonNull(pause, "pause is null");
        return new ResponsePacer(link, pause);
    }

    /** Returns how long a large response would be held back now. */
    Duration backlog() {
        return link.backlog();
    }

    /** Blocks until a response of a size in bytes may be written; shorter if the thread is interrupted. */
    void awaitTurn(int bytes) {
        Duration wait = link.reserve(bytes);
        if (!wait.isPositive()) {
            return;
        }
        try {
            pause.pass(wait);
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
    }
}
