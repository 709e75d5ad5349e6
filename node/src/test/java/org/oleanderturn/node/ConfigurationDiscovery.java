package org.oleanderturn.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** How the nodes of a {@link ConfigurationFleet} come to know each other, and notice who has gone. Used by one task at a time. */
final class ConfigurationDiscovery {
    private static final int LONGEST_JOIN_MILLISECONDS = 300;
    private static final int SHORTEST_LOSS_DETECTION_MILLISECONDS = 300;
    private static final int LONGEST_LOSS_DETECTION_MILLISECONDS = 1_500;
    private static final long ANSWER_BYTES = 1_000;
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration PAUSE = Duration.ofMillis(450);

    private final ConfigurationFleet fleet;

    /** The lives in which nodes have found others. */
    private final Map<ConfigurationHost, Integer> lives = new HashMap<>();

    private boolean isByStore;

    ConfigurationDiscovery(ConfigurationFleet fleet) {
        this.fleet = fleet;
    }

    /** Lets nodes find each other only once the store has answered them, as those that know no address do. */
    void discoverByStore() {
        isByStore = true;
    }

    /** Lets a node that has started find the others. */
    void join(ConfigurationHost host) {
        if (isByStore) {
            askStore(host, host.life());
        } else {
            reviewLater(host);
        }
    }

    private void askStore(ConfigurationHost host, int life) {
        boolean[] isOver = new boolean[1];
        fleet.time().at(ANSWER_TIMEOUT, () -> {
            if (!isOver[0] && host.life() == life) {
                isOver[0] = true;
                fleet.time().at(PAUSE, () -> askStore(host, life));
            }
        });
        fleet.sendFromStore(host, fleet.scaled(ANSWER_BYTES), () -> true, () -> {}, () -> {
            if (!isOver[0] && host.life() == life && host.isNodeUp()) {
                isOver[0] = true;
                lives.put(host, life);
                reviewLater(host);
            }
        });
    }

    /** Returns whether other nodes can know of the node of a host. */
    private boolean isKnown(ConfigurationHost host) {
        return !isByStore || lives.getOrDefault(host, 0) == host.life();
    }

    /** Lets the membership of all nodes notice, after a while, what has become of a host's node. */
    void reviewLater(ConfigurationHost subject) {
        for (ConfigurationHost other : fleet.hosts()) {
            if (other != subject && isKnown(other) && isKnown(subject)) {
                fleet.time().at(detectionDelay(subject), () -> review(other, subject));
                fleet.time().at(detectionDelay(subject), () -> review(subject, other));
            }
        }
    }

    private static void review(ConfigurationHost observer, ConfigurationHost subject) {
        observer.node().ifPresent(node -> node.see(subject.number(), subject.isNodeUp()));
    }

    private Duration detectionDelay(ConfigurationHost subject) {
        return Duration.ofMillis(
                subject.isNodeUp()
                        ? fleet.random().nextInt(LONGEST_JOIN_MILLISECONDS)
                        : fleet.random()
                                .nextInt(SHORTEST_LOSS_DETECTION_MILLISECONDS, LONGEST_LOSS_DETECTION_MILLISECONDS));
    }
}
