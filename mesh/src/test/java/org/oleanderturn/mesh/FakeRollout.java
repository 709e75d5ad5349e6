package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.ServiceName;

/** Allows the targets of given nodes, and keeps what it is told. */
final class FakeRollout implements RolloutPlacement {
    final List<String> records = new CopyOnWriteArrayList<>();
    private final Set<NodeId> allowed;

    FakeRollout(NodeId... allowed) {
        this.allowed = Set.of(allowed);
    }

    @Override
    public List<Endpoint> eligible(ServiceName service, List<Endpoint> known, boolean isFirstAttempt) {
        records.add(isFirstAttempt ? "first" : "again");
        return known.stream()
                .filter(endpoint -> allowed.contains(endpoint.node()))
                .toList();
    }

    @Override
    public void recordSent(ServiceName service, Endpoint endpoint) {
        records.add("sent " + endpoint.node());
    }

    @Override
    public void recordEnded(ServiceName service, Endpoint endpoint) {
        records.add("ended " + endpoint.node());
    }

    @Override
    public void recordAnswer(
            ServiceName service, RouteName route, Endpoint endpoint, boolean isBad, Duration duration) {
        records.add((isBad ? "bad " : "good ") + endpoint.node());
    }
}
