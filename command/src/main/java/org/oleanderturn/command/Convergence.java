package org.oleanderturn.command;

import java.util.ArrayList;
import java.util.List;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ProxyStatus;

/**
 * Which proxies hold an accepted version, as seen by one node.
 *
 * <p>Invariant: each known proxy that has not left the mesh is in exactly one list. Immutable and thread safe.
 *
 * @param version the accepted version
 * @param holding proxies that hold this version or a newer one
 * @param behind reachable proxies that hold an older version
 * @param unreachable unreachable proxies that are not known to hold this version
 */
public record Convergence(
        ConfigurationVersion version, List<NodeId> holding, List<NodeId> behind, List<NodeId> unreachable) {

    /** Copies the lists. */
    public Convergence {
        holding = List.copyOf(holding);
        behind = List.copyOf(behind);
        unreachable = List.copyOf(unreachable);
    }

    /** Returns the state before any node has reported: all lists are empty. */
    public static Convergence unknown(ConfigurationVersion version) {
        return new Convergence(version, List.of(), List.of(), List.of());
    }

    /** Returns the state that the given proxies report. */
    public static Convergence of(ConfigurationVersion version, List<ProxyStatus> proxies) {
        List<NodeId> holding = new ArrayList<>();
        List<NodeId> behind = new ArrayList<>();
        List<NodeId> unreachable = new ArrayList<>();
        for (ProxyStatus proxy : proxies) {
            if (proxy.state() == EndpointState.LEFT) {
                continue;
            }
            if (!version.isAfter(proxy.version())) {
                holding.add(proxy.node());
            } else if (proxy.isReachable()) {
                behind.add(proxy.node());
            } else {
                unreachable.add(proxy.node());
            }
        }
        return new Convergence(version, holding, behind, unreachable);
    }

    /** Returns whether every reachable proxy holds the version and at least one proxy does. */
    public boolean isInForce() {
        return behind.isEmpty() && !holding.isEmpty();
    }

    /** Returns a summary, followed by one line for each proxy that does not hold the version. */
    String describe() {
        List<String> lines = new ArrayList<>();
        if (holding.isEmpty() && behind.isEmpty() && unreachable.isEmpty()) {
            return "version " + version + ": no node reported which proxies hold it";
        }
        String status = isInForce() ? "in force on every reachable proxy" : "not yet in force on every reachable proxy";
        lines.add("version %s: %s (%d hold it)".formatted(version, status, holding.size()));
        behind.forEach(node -> lines.add("  behind: " + node));
        unreachable.forEach(node -> lines.add("  unreachable: " + node));
        return String.join(System.lineSeparator(), lines);
    }
}
