package org.oleanderturn.command;

import java.util.ArrayList;
import java.util.List;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ProxyStatus;

/**
 * How far an accepted version has spread, as seen by one node.
 *
 * <p>Invariant: each proxy that has not left stands in exactly one list. Immutable and thread safe.
 *
 * @param version the version that is to be in force
 * @param holding proxies that hold it or a newer one
 * @param behind reachable proxies that hold an older one
 * @param unreachable proxies that can't be reached and are not known to hold it
 */
public record Convergence(
        ConfigurationVersion version, List<NodeId> holding, List<NodeId> behind, List<NodeId> unreachable) {

    /** Copies the lists. */
    public Convergence {
        holding = List.copyOf(holding);
        behind = List.copyOf(behind);
        unreachable = List.copyOf(unreachable);
    }

    /** Returns what is known before any node was asked. */
    public static Convergence unknown(ConfigurationVersion version) {
        return new Convergence(version, List.of(), List.of(), List.of());
    }

    /** Sorts the proxies by whether they hold the version. */
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

    /** Returns whether every reachable proxy holds the version, and at least one does. */
    public boolean isInForce() {
        return behind.isEmpty() && !holding.isEmpty();
    }

    /** Returns the state in words. */
    String describe() {
        List<String> lines = new ArrayList<>();
        if (holding.isEmpty() && behind.isEmpty() && unreachable.isEmpty()) {
            return "version " + version + ": no node told which proxies hold it";
        }
        String all = isInForce() ? "in force on every reachable proxy" : "not yet in force everywhere";
        lines.add("version %s: %s (%d hold it)".formatted(version, all, holding.size()));
        behind.forEach(node -> lines.add("  behind: " + node));
        unreachable.forEach(node -> lines.add("  unreachable: " + node));
        return String.join(System.lineSeparator(), lines);
    }
}
